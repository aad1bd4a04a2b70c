"""How many rows a page holds."""

from hypothesis import given
from hypothesis import strategies as st

from vanillaswitch.transport import page_size

_TIMES = st.floats(0.0, 10.0)


@given(st.lists(_TIMES), st.integers(0, 500), _TIMES)
def test_a_page_is_within_what_the_platform_answers(times, rows, took_s):
    pages = page_size.PageSize()
    for time_s in times:
        pages.record_call(time_s)
    wanted = pages.next_limit(rows, took_s)
    assert page_size.MIN_ROWS <= wanted <= page_size.MOST_ROWS


def test_a_slow_link_gets_small_pages():
    pages = page_size.PageSize()
    pages.record_call(0.01)
    assert pages.next_limit(100, 1.01) == 25


def test_a_store_that_answers_late_on_a_fast_link_gets_large_pages():
    """A change of owner lasts long while the store is slow.

    Each page takes the same 0.3 s then, however small it is.
    """
    pages = page_size.PageSize()
    pages.record_call(0.3)
    assert pages.next_limit(16, 0.301) == page_size.MOST_ROWS
