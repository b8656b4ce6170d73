"""Tests of prefix blocks and their index."""

from hypothesis import given, strategies as st

from dotterelplank.routing import prefixes

TEXT = bytes(range(256)) * 32


def test_equal_prefixes_have_equal_hashes():
    other = TEXT[: 4 * prefixes.BLOCK_SIZE_BYTES] + b"x" * 4_096
    assert prefixes.chain(TEXT)[:4] == prefixes.chain(other)[:4]
    assert prefixes.chain(TEXT)[4] != prefixes.chain(other)[4]


def test_equal_blocks_after_different_prefixes_differ():
    block = b"x" * prefixes.BLOCK_SIZE_BYTES
    first, second = prefixes.chain(block + block)
    assert first != second


def test_a_block_that_is_not_full_has_no_hash():
    assert prefixes.chain(b"x" * (prefixes.BLOCK_SIZE_BYTES - 1)) == ()


def test_a_match_skips_blocks_of_a_lost_event():
    index = prefixes.PrefixIndex(100)
    index.add(1.0, (1, 2, 4, 5))
    assert index.match((1, 2, 3, 4, 5, 6)).blocks == 5


def test_likelihood_halves_with_age():
    match = prefixes.Match(8, 1_000.0)
    assert prefixes.likely_blocks(match, 2_000.0, 1_000.0) == 4.0


@given(st.lists(st.lists(st.integers(0, 50), max_size=20), max_size=20))
def test_the_index_never_outgrows_its_capacity(chains):
    index = prefixes.PrefixIndex(16)
    for now_ms, blocks in enumerate(chains):
        index.add(now_ms, blocks)
        assert len(index) <= 16
