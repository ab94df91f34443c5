"""Operation tokens, and the ledger of the operations whose tokens this VM issued.

A non-idempotent request with a token is dispatched only if the ledger of its issuer allows it::

    issuer = Issuer(VmId("vm-1"), Incarnation(1), secret=os.urandom(32))
    ledger = Ledger(issuer)
    token = issuer.issue(now, rng.randbytes(NONCE_BYTES))
    decision = ledger.begin(token, digest, now)      # DISPATCH, the first time
    ledger.finish(token, State.ANSWERED, now, reply, size_bytes=120)
    ledger.begin(token, digest, now).response        # reply

The module does no I/O. ``now`` is the issuer's monotonic clock in seconds. ``Ledger`` is not
thread-safe.
"""

import base64
import binascii
import collections
import enum
import hashlib
import heapq
import hmac

import msgspec

from dotterelfront import errors, models

NONCE_BYTES = 12
MAC_BYTES = 16
MAX_TOKEN_CHARS = 512
MAX_BATCH = 100
"""Maximum number of tokens issued by one call; unused tokens need no memory."""

VALID_S = 600.0
"""Age from which an unused token is refused."""
ENTRY_RETENTION_S = 2 * VALID_S
"""Token age up to which the ledger records whether the token was used; exceeds ``VALID_S``."""

MAX_ENTRIES = 100_000
"""Sufficient for 83 operations/s with ``ENTRY_RETENTION_S``. A VM of a fleet of the target size
receives 70 requests/s."""

RESPONSE_RETENTION_S = 60.0
MAX_RESPONSE_BYTES = 16_000_000
"""Total size of the stored responses; the oldest are dropped first."""

MAX_WAITERS = 8
"""Maximum number of duplicates waiting for an operation; each occupies a worker thread."""


class State(enum.Enum):
    """State of an operation in its issuer's ledger. A token without an entry is ``NEW``."""

    NEW = "new"
    DISPATCHED = "dispatched"
    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


TRANSITIONS = {
    State.NEW: frozenset([State.DISPATCHED, State.NOT_RUN]),
    State.DISPATCHED: frozenset([State.ANSWERED, State.NOT_RUN, State.UNKNOWN]),
    State.ANSWERED: frozenset(),
    State.NOT_RUN: frozenset(),
    State.UNKNOWN: frozenset(),
}


class Token(msgspec.Struct, frozen=True, array_like=True):
    """Payload of a token; only its issuer can verify it. ``issued_ms`` is on the issuer's clock."""

    vm: models.VmId
    incarnation: models.Incarnation
    issued_ms: int
    nonce: bytes


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Token)


def parse(encoded: str) -> Token:
    """Decodes a token without verifying it; raises ``errors.MalformedRequestError``."""
    return _decode(encoded)[0]


def _decode(encoded: str) -> tuple[Token, bytes, bytes]:
    if len(encoded) > MAX_TOKEN_CHARS:
        raise errors.MalformedRequestError("operation token is too long")
    try:
        padded = encoded.encode("ascii") + b"=" * (-len(encoded) % 4)
        raw = base64.b64decode(padded, altchars=b"-_", validate=True)
        token = _decoder.decode(raw[:-MAC_BYTES])
    except (binascii.Error, UnicodeError, msgspec.MsgspecError) as exc:
        raise errors.MalformedRequestError("operation token is malformed") from exc
    return token, raw[:-MAC_BYTES], raw[-MAC_BYTES:]


def request_digest(customer: models.CustomerId, method: str, target: str, body: bytes) -> bytes:
    """Returns a digest that identifies a request; each token is valid for one request only."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (customer.encode(), method.encode(), target.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


class Issuer:
    """Issues tokens and verifies its own. ``secret`` is random and lasts as long as the process."""

    def __init__(self, vm: models.VmId, incarnation: models.Incarnation, secret: bytes):
        self.vm = vm
        self.incarnation = incarnation
        self._secret = secret

    def issue(self, now: float, nonce: bytes) -> models.OperationId:
        payload = _encoder.encode(Token(self.vm, self.incarnation, int(now * 1000), nonce))
        encoded = base64.urlsafe_b64encode(payload + self._mac(payload)).rstrip(b"=")
        return models.OperationId(encoded.decode("ascii"))

    def verify(self, encoded: str) -> Token:
        """Returns the token if this process issued it.

        Raises ``errors.IssuerUnavailableError`` for the token of another VM or incarnation and
        ``errors.MalformedRequestError`` for a malformed or forged token.
        """
        token, payload, mac = _decode(encoded)
        if (token.vm, token.incarnation) != (self.vm, self.incarnation):
            raise errors.IssuerUnavailableError(
                f"token was issued by {token.vm}, incarnation {token.incarnation}"
            )
        if not hmac.compare_digest(mac, self._mac(payload)):
            raise errors.MalformedRequestError("operation token has an invalid MAC")
        return token

    def _mac(self, payload: bytes) -> bytes:
        return hashlib.blake2b(payload, key=self._secret, digest_size=MAC_BYTES).digest()


class Action(enum.Enum):
    """Action of the issuer on a delivery."""

    DISPATCH = "dispatch"
    WAIT = "wait"
    RESPOND = "respond"
    REFUSE = "refuse"


class Decision(msgspec.Struct, frozen=True):
    """Decision of the ledger; ``response`` is set for ``RESPOND`` and ``error`` for ``REFUSE``."""

    action: Action
    response: object = None
    error: errors.RequestError | None = None


class _Entry:
    """Ledger entry of a used token. ``digest`` identifies the request that used it first."""

    __slots__ = ("digest", "response", "size_bytes", "state", "waiters")

    def __init__(self, digest: bytes):
        self.digest = digest
        self.state = State.NEW
        self.response: object = None
        self.size_bytes = 0
        self.waiters = 0


class Ledger:
    """Records the states of the issuer's used tokens, bounded in entries, bytes and time.

    A full ledger refuses a new operation as not-run. It has no room to record that refusal. To keep
    a later delivery of the same token from running, it also refuses from then on every unused token
    issued up to that time.
    """

    def __init__(self, issuer: Issuer, max_entries: int = MAX_ENTRIES):
        self._issuer = issuer
        self._max_entries = max_entries
        self._entries: dict[bytes, _Entry] = {}
        self._expiry_heap: list[tuple[float, bytes]] = []
        self._responses: collections.deque[tuple[float, _Entry]] = collections.deque()
        self._refuse_issued_until_ms = -1
        self.response_bytes = 0
        self.full_refusals = 0

    def __len__(self) -> int:
        return len(self._entries)

    def begin(self, encoded: str, digest: bytes, now: float) -> Decision:
        """Decides on one delivery; returns ``DISPATCH`` at most once for each token."""
        try:
            token = self._issuer.verify(encoded)
        except errors.RequestError as exc:
            return Decision(Action.REFUSE, error=exc)
        self.drop_expired(now)
        entry = self._entries.get(token.nonce)
        if entry is not None:
            return self._decide_duplicate(entry, digest)
        if refusal := self._refusal_of_new(token, now):
            return Decision(Action.REFUSE, error=refusal)
        entry = self._entries[token.nonce] = _Entry(digest)
        heapq.heappush(self._expiry_heap, (token.issued_ms / 1000 + ENTRY_RETENTION_S, token.nonce))
        self._transition(entry, State.DISPATCHED)
        return Decision(Action.DISPATCH)

    def finish(
        self, encoded: str, state: State, now: float, response: object, size_bytes: int = 0
    ) -> None:
        """Records the final state of a dispatched operation and the response for its duplicates.

        ``size_bytes`` counts towards ``MAX_RESPONSE_BYTES``. In states other than ``ANSWERED`` the
        response is retained as long as the entry, and must be small.
        """
        entry = self._entries[parse(encoded).nonce]
        self._transition(entry, state)
        if state is not State.ANSWERED:
            entry.response = response
        elif size_bytes <= MAX_RESPONSE_BYTES:
            entry.response, entry.size_bytes = response, size_bytes
            self.response_bytes += size_bytes
            self._responses.append((now + RESPONSE_RETENTION_S, entry))
        self._drop_responses(now)

    def stop_waiting(self, encoded: str) -> None:
        """Ends the wait of one duplicate for which ``begin`` returned ``WAIT``."""
        self._entries[parse(encoded).nonce].waiters -= 1

    def drop_expired(self, now: float) -> None:
        """Drops expired responses and entries, except entries that are still in use."""
        self._drop_responses(now)
        while self._expiry_heap and self._expiry_heap[0][0] <= now:
            _, nonce = heapq.heappop(self._expiry_heap)
            entry = self._entries[nonce]
            if entry.state is State.DISPATCHED or entry.waiters:
                heapq.heappush(self._expiry_heap, (now + VALID_S, nonce))
            else:
                del self._entries[nonce]

    def _refusal_of_new(self, token: Token, now: float) -> errors.RequestError | None:
        age_s = now - token.issued_ms / 1000
        if age_s >= ENTRY_RETENTION_S:
            return errors.OutcomeUnknownError("token is older than the ledger's records")
        if age_s >= VALID_S:
            return errors.OperationExpiredError("token expired unused")
        if token.issued_ms <= self._refuse_issued_until_ms:
            return errors.LedgerFullError("token was refused while the ledger was full")
        if len(self._entries) >= self._max_entries:
            self._refuse_issued_until_ms = int(now * 1000)
            self.full_refusals += 1
            return errors.LedgerFullError("the ledger is full")
        return None

    def _decide_duplicate(self, entry: _Entry, digest: bytes) -> Decision:
        if digest != entry.digest:
            error = errors.OperationMismatchError("token was used for another request")
            return Decision(Action.REFUSE, error=error)
        if entry.state is State.DISPATCHED:
            if entry.waiters >= MAX_WAITERS:
                error = errors.OutcomeUnknownError("too many deliveries wait for this operation")
                return Decision(Action.REFUSE, error=error)
            entry.waiters += 1
            return Decision(Action.WAIT)
        if entry.response is not None:
            return Decision(Action.RESPOND, response=entry.response)
        error = errors.AlreadyAnsweredError("already answered; the response is no longer stored")
        return Decision(Action.REFUSE, error=error)

    def _drop_responses(self, now: float) -> None:
        while self._responses and (
            self._responses[0][0] <= now or self.response_bytes > MAX_RESPONSE_BYTES
        ):
            _, entry = self._responses.popleft()
            self.response_bytes -= entry.size_bytes
            entry.response, entry.size_bytes = None, 0

    @staticmethod
    def _transition(entry: _Entry, state: State) -> None:
        if state not in TRANSITIONS[entry.state]:
            raise errors.TransitionError(f"{entry.state.value} to {state.value}")
        entry.state = state
