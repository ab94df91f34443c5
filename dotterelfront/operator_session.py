"""What the operators' commands need from the store, the platform and the VMs.

::

    operator = Session(load_settings(path, store_url="", platform_url=""))
    operator.apply(publish.server_edit(server, models.ServerState.LEAVING), publish.Take.NEITHER)
    operator.close()
"""

import concurrent.futures
import contextlib
import pathlib
import time
from collections.abc import Callable, Iterator

import msgspec
import pydantic
import pyjson5

from dotterelfront import (
    errors,
    follower,
    messages,
    models,
    peers,
    publish,
    revisions,
    settings,
    store,
    tables,
    vmlist,
)

CONTROL_PORT = 7402
CALL_TIMEOUT_S = 2.0
CALL_WORKERS = 32
POLL_S = 0.25


class FleetUnreachableError(errors.DotterelfrontError):
    """Too few VMs answer to know the newest revision of the fleet."""

    code = "FLEET_UNREACHABLE"


class OperatorSettings(pydantic.BaseModel):
    """Settings of an operator's machine, in JSON with comments; options override them."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    store_url: str
    platform_url: str
    control_port: int = CONTROL_PORT
    tls: settings.Tls | None = None


def load_settings(
    path: pathlib.Path | None,
    store_url: str,
    platform_url: str,
    control_port: int | None = None,
    tls: tuple[str, str, str] | None = None,
) -> OperatorSettings:
    """Returns the settings of a file and the options; raises ``errors.ConfigurationError``."""
    try:
        data = pyjson5.decode(path.read_text()) if path else {}
        given = {
            "store_url": store_url,
            "platform_url": platform_url,
            "control_port": control_port,
            "tls": tls and dict(zip(("ca_file", "cert_file", "key_file"), tls, strict=True)),
        }
        data |= {key: value for key, value in given.items() if value}
        return OperatorSettings.model_validate(data)
    except pydantic.ValidationError as exc:
        missing = ", ".join(".".join(map(str, found["loc"])) for found in exc.errors())
        raise errors.ConfigurationError(
            f"settings: {missing}: missing or not valid; use --settings or the options"
        ) from exc
    except (OSError, TypeError, UnicodeDecodeError, pyjson5.Json5Exception) as exc:
        raise errors.ConfigurationError(f"{path}: {exc}") from exc


def read_files(routes: pathlib.Path, pools: pathlib.Path) -> models.Tables:
    """Parses the operators' files; raises ``errors.ConfigurationError``."""
    try:
        texts = routes.read_text(), pools.read_text()
    except (OSError, UnicodeDecodeError) as exc:
        raise errors.ConfigurationError(str(exc)) from exc
    return tables.parse(*texts, str(routes), str(pools))


def read_base(routes: pathlib.Path) -> models.Tables:
    """Returns the tables that the files were edited from; empty ones when that is not known."""
    path = _base_file(routes)
    try:
        return msgspec.json.decode(path.read_bytes(), type=models.Tables)
    except FileNotFoundError:
        return publish.EMPTY
    except (OSError, msgspec.MsgspecError) as exc:
        raise errors.ConfigurationError(f"{path}: {exc}") from exc


def write_base(routes: pathlib.Path, content: models.Tables) -> None:
    _base_file(routes).write_bytes(msgspec.json.encode(content))


def _base_file(routes: pathlib.Path) -> pathlib.Path:
    return routes.with_name(routes.name + ".base")


class Session:
    """Connections of one command."""

    def __init__(self, cfg: OperatorSettings):
        self._cfg = cfg
        self._client = store.StoreClient(cfg.store_url)
        self._platform = vmlist.ListClient(cfg.platform_url)
        self._list = vmlist.VmList(())
        tls = peers.TlsFiles(**cfg.tls.model_dump()) if cfg.tls else None
        self._caller = peers.Caller(messages.CONTROL_LIMIT_BYTES, tls)
        self._workers = concurrent.futures.ThreadPoolExecutor(CALL_WORKERS)
        self._listed: tuple[models.Vm, ...] = ()

    def close(self) -> None:
        self._workers.shutdown()
        self._caller.close()
        self._client.close()

    def vms(self) -> tuple[models.Vm, ...]:
        """Returns the platform's list; raises ``errors.StoreUnavailableError``."""
        found = self._platform.fetch()
        if found is not None:
            self._list = found
        return self._list.vms

    def statuses(self, vms: tuple[models.Vm, ...]) -> dict[models.Vm, messages.ConfigStatus | None]:
        """Asks VMs for their status at the same time; None for one that did not answer."""
        return dict(zip(vms, self._workers.map(self._status, vms), strict=True))

    def stored_revision(self) -> int | None:
        """Returns the revision in the store, None when the store does not answer."""
        try:
            root = publish.read_root(self._client).root
        except errors.DotterelfrontError:
            return None
        return root.revision if root else 0

    def newest(self) -> tuple[revisions.Root | None, models.Tables, str]:
        """Returns the newest root and tables that store or fleet have, and which of them."""
        fleet = self._fleet(partial=True)
        try:
            root = publish.read_root(self._client).root
            if fleet.root is None or (root and root.revision >= fleet.root.revision):
                return root, publish.read_tables(self._client, root), "store"
        except errors.StoreError:
            if fleet.root is None:
                raise
        content = revisions.assemble(fleet.root, fleet.chunks(fleet.root.chunks))
        return fleet.root, content, "fleet"

    def apply(
        self, edit: publish.Edit, take: publish.Take, partial_fleet: bool = False
    ) -> publish.Result:
        """Publishes an edit; see ``publish.apply_edit``."""
        return publish.apply_edit(self._client, self._fleet(partial_fleet), edit, take)

    def sweep(self) -> None:
        """Collects unused chunks if that is due; a later command repeats it after a failure."""
        with contextlib.suppress(errors.DotterelfrontError):
            publish.sweep_if_due(self._client, time.time())

    def wait(
        self, revision: int, timeout_s: float, now: Callable[[], float]
    ) -> Iterator[tuple[int, list[str]]]:
        """Yields how many VMs of the platform's list have the revision, and the names of the
        others, until there are none or the time is over."""
        end = now() + timeout_s
        following: set[models.Vm] = set()
        while True:
            with contextlib.suppress(errors.StoreError):
                self._listed = self.vms()
            following &= set(self._listed)
            waiting = tuple(vm for vm in self._listed if vm not in following)
            if timeout_s > 0:
                found = self.statuses(waiting)
                following |= {vm for vm, state in found.items() if _in_force(state, revision)}
            missing = [str(vm.id) for vm in self._listed if vm not in following]
            yield len(following), missing
            if not missing or now() >= end:
                return
            time.sleep(POLL_S)

    def _fleet(self, partial: bool) -> publish.Fleet:
        """Returns the newest configuration of the VMs that answer."""
        self._listed = self.vms()
        found = self.statuses(self._listed)
        answered = {vm: state for vm, state in found.items() if state}
        if not partial and 2 * len(answered) < len(self._listed):
            raise FleetUnreachableError(f"{len(answered)} of {len(self._listed)} VMs answer")
        order = sorted(answered, key=lambda vm: answered[vm].revision, reverse=True)
        for vm in order:
            if not answered[vm].revision:
                break

            def call(msg, vm=vm):
                return self._call(vm, msg)

            try:
                root = follower.pull_root(call)
            except errors.DotterelfrontError:
                continue
            return publish.Fleet(root, lambda names, call=call: follower.pull_chunks(call, names))
        return publish.Fleet()

    def call(self, vm: models.Vm, msg: messages.Message, timeout_s: float) -> messages.Message:
        """Calls a VM on its control port; raises ``errors.PeerError``."""
        return self._caller.call(f"{vm.address}:{self._cfg.control_port}", msg, timeout_s)

    def _status(self, vm: models.Vm) -> messages.ConfigStatus | None:
        try:
            reply = self._call(vm, messages.ConfigStatusPull())
        except errors.DotterelfrontError:
            return None
        return reply if isinstance(reply, messages.ConfigStatus) else None

    def _call(self, vm: models.Vm, msg: messages.Message) -> messages.Message:
        return self.call(vm, msg, CALL_TIMEOUT_S)


def _in_force(state: messages.ConfigStatus | None, revision: int) -> bool:
    return state is not None and state.revision >= revision
