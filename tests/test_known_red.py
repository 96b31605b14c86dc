from tests.known_red import listed_tests


def test_only_test_lines_are_listed():
    text = "# a comment\n\ntest: tests/test_a.py::test_b\nseed: 4\n"
    assert listed_tests(text) == ["tests/test_a.py::test_b"]
