"""Hypothesis strategies for invalid input: mutated bytes and malformed structures."""

from hypothesis import strategies as st

scalars = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from(["", "5s", "1GiB", "low", "cell.0", "10.0.0.1:1", "a" * 70])
)


def trees(keys):
    """Generate JSON-like data whose mappings mostly use ``keys``."""
    some_keys = st.sampled_from(sorted(keys)) | st.text(max_size=5)
    return st.recursive(
        scalars,
        lambda inner: (
            st.lists(inner, max_size=4) | st.dictionaries(some_keys, inner, max_size=6)
        ),
        max_leaves=25,
    )


pieces_of_bytes = st.binary(max_size=6)


@st.composite
def mutated(draw, originals, pieces=pieces_of_bytes):
    """Generate one of ``originals`` with pieces replaced, repeated or removed."""
    data = draw(st.sampled_from(originals))
    for _ in range(draw(st.integers(1, 4))):
        start = draw(st.integers(0, len(data)))
        end = start + draw(st.integers(0, 12))
        piece = draw(pieces | st.just(data[start:end] * 3))
        data = data[:start] + piece + data[end:]
    return data
