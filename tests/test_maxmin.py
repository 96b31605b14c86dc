from hypothesis import given, settings

from dotterelspread.maxmin import fill_cells

from .builders_policies import shared_cells

#: Tolerance, in units, for rounding and for the change in the last pass.
UNITS = 4


def totals(shares_by_cell):
    sums = {}
    for shares in shares_by_cell.values():
        for team, share in shares.items():
            sums[team] = sums.get(team, 0) + share
    return sums


@settings(derandomize=True, max_examples=150, deadline=None)
@given(shared_cells())
def test_shares_are_max_min_and_use_the_whole_capacity(cells):
    claimants_by_cell, capacity_by_cell = cells
    shares_by_cell = fill_cells(claimants_by_cell, capacity_by_cell, {})
    held = totals(shares_by_cell)
    for cell, claimants in claimants_by_cell.items():
        shares = shares_by_cell[cell]
        wanted = sum(claimant.demand for claimant in claimants)
        assert sum(shares.values()) == min(wanted, capacity_by_cell[cell])
        for poor in claimants:
            assert 0 <= shares[poor.team] <= poor.demand
            if shares[poor.team] == poor.demand:
                continue
            level = poor.level(held[poor.team] + UNITS)
            for rich in claimants:
                if shares[rich.team] > UNITS:
                    assert rich.level(held[rich.team] - UNITS) <= level


@settings(derandomize=True, max_examples=60, deadline=None)
@given(shared_cells())
def test_shares_do_not_depend_on_the_order_of_cells(cells):
    claimants_by_cell, capacity_by_cell = cells
    first = fill_cells(claimants_by_cell, capacity_by_cell, {})
    turned = dict(reversed(claimants_by_cell.items()))
    assert fill_cells(turned, capacity_by_cell, {}) == first
