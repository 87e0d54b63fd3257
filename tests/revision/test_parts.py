"""Records on disk and bodies in pieces, also corrupt and hostile ones."""

from __future__ import annotations

import random

import pytest

from ladderhub.revision import Record, RevisionSettings, decode_record, encode_record
from ladderhub.revision.bodies import MAX_BODIES, BodyCache, Downloads, send_pieces
from ladderhub.revision.content import NO_DIGEST, body_digest, digest_of, from_pieces, to_pieces
from ladderhub.revision.context import Context
from ladderhub.revision.messages import MAX_BODY_BYTES, Ballot, FetchPieces, Header, Piece
from ladderhub.revision.types import MS, Acceptance, Send

BODY = random.Random(1).randbytes(20_000)


def header(number: int, parent: bytes, body: bytes = BODY) -> Header:
    return Header(number, parent, "ann", 5, "more room", body_digest(body))


def record() -> Record:
    first = header(1, NO_DIGEST)
    second = header(2, digest_of(first), b"next")
    accepted = Acceptance(Ballot(3, 7), second, b"next")
    return Record((first,), BODY, first, BODY, Ballot(4, 9), accepted, 1)


def test_a_record_comes_back_as_it_was() -> None:
    assert decode_record(encode_record(record())) == record()
    assert decode_record(encode_record(Record())) == Record()


def test_a_record_that_was_truncated_or_changed_anywhere_is_rejected() -> None:
    data, rng = encode_record(record()), random.Random(2)
    for _ in range(300):
        changed = bytearray(data)
        changed[rng.randrange(len(data))] ^= 1 << rng.randrange(8)
        with pytest.raises(ValueError, match="record of revisions|checksum"):
            decode_record(bytes(changed))
        with pytest.raises(ValueError, match="record of revisions|checksum"):
            decode_record(data[: rng.randrange(len(data))])


def test_a_record_with_inconsistent_fields_is_rejected() -> None:
    good = record()
    unlinked = (good.headers[0], header(2, NO_DIGEST))
    for wrong in (Record(headers=unlinked), Record(headers=good.headers, body=b"another")):
        with pytest.raises(ValueError, match="its fields are inconsistent"):
            decode_record(encode_record(wrong))


def test_a_body_that_is_too_long_or_does_not_match_its_digest_is_rejected() -> None:
    assert from_pieces(list(to_pieces(BODY)), body_digest(BODY)) == BODY
    assert from_pieces(list(to_pieces(BODY))[:-1], body_digest(BODY)) is None
    assert from_pieces([b"no zlib at all"], body_digest(BODY)) is None
    with pytest.raises(ValueError, match="at most"):
        to_pieces(bytes(MAX_BODY_BYTES + 1))
    with pytest.raises(ValueError, match="compressed"):
        to_pieces(random.Random(1).randbytes(100_000))


def test_the_body_cache_is_bounded() -> None:
    bodies = BodyCache()
    for at in range(3 * MAX_BODIES):
        bodies.put(bytes([at]), bytes(at))
    assert [bodies.get(bytes([at])) is not None for at in (0, 2 * MAX_BODIES, 3 * MAX_BODIES - 1)] == [
        False, True, True,
    ]  # fmt: skip


class Fetching:
    """Downloads a body from sources that may lose or corrupt pieces or lack the body."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.bodies = BodyCache()
        self.context = Context(RevisionSettings("a", 1, "h:1", ("h:1",), b""), seed)
        self.context.addresses = {"b": "h:2", "c": "h:3"}
        self.downloads = Downloads(self.context, self.bodies)
        self.now = 0

    def run(self, loss: float, corrupt: set[str], lacking: set[str]) -> bytes | None:
        source = Context(RevisionSettings("b", 1, "h:2", ("h:1",), b""), 1)
        for _ in range(2000):
            self.now += 10 * MS
            self.downloads.tick(self.now)
            sent, self.context.actions = self.context.actions, []
            for action in sent:
                assert isinstance(action, Send) and isinstance(action.message, FetchPieces)
                offered = None if action.address in lacking else BODY
                send_pieces(source, BodyCache(), offered, action.message)
                answers, source.actions = source.actions, []
                for answer in answers:
                    assert isinstance(answer, Send)
                    if self.random.random() >= loss:
                        self._take(answer, action.address in corrupt)
            if self.bodies.get(body_digest(BODY)) is not None:
                break
        return self.bodies.get(body_digest(BODY))

    def _take(self, answer: Send, corrupt: bool) -> None:
        message = answer.message
        if isinstance(message, Piece):
            data = bytes(len(message.data)) if corrupt else message.data
            self.downloads.on_piece(self.now, Piece(message.nonce, message.index, message.total, data))
        else:
            self.downloads.on_lacking(self.now, message)  # type: ignore[arg-type]


@pytest.mark.parametrize("seed", range(5))
def test_a_body_is_downloaded_despite_loss_from_the_source_that_has_it(seed: int) -> None:
    fetching = Fetching(seed)
    fetching.downloads.fetch(0, body_digest(BODY), ("h:3", "h:2"))
    assert fetching.run(0.3, set(), set()) == BODY


def test_a_source_with_corrupt_pieces_and_one_without_the_body_are_replaced() -> None:
    fetching = Fetching(1)
    fetching.downloads.fetch(0, body_digest(BODY), ("h:4", "h:3", "h:2"))
    assert fetching.run(0.1, {"h:2"}, {"h:3"}) == BODY
    assert fetching.downloads.corrupt_count == 1


def test_pieces_that_nobody_asked_for_change_nothing() -> None:
    fetching = Fetching(1)
    fetching.downloads.fetch(0, body_digest(BODY), ("h:2",))
    assert fetching.downloads.on_piece(0, Piece(12345, 0, 1, to_pieces(BODY)[0])) is None
    assert fetching.run(0.0, set(), set()) == BODY
