"""Access of the operators' commands to the store, the platform and the VMs.

::

    session = Session(load_settings(path, store_url="", platform_url=""))
    session.apply(publish.server_edit(server, models.ServerState.LEAVING), publish.ForkBase.NEITHER)
    session.close()
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
    config_follower,
    errors,
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
"""Interval between two polls of the VMs that do not have an accepted revision yet."""


class FleetUnreachableError(errors.DotterelfrontError):
    """Too few VMs respond to determine the newest revision of the fleet."""

    code = "FLEET_UNREACHABLE"


class OperatorSettings(pydantic.BaseModel):
    """Settings file of an operator's machine, in JSON with comments.

    Command options override its values.
    """

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
    """Returns the settings of a file, overridden by the given options.

    Raises ``errors.ConfigurationError`` if they are missing or invalid.
    """
    try:
        data = pyjson5.decode(path.read_text()) if path else {}
        options = {
            "store_url": store_url,
            "platform_url": platform_url,
            "control_port": control_port,
            "tls": tls and dict(zip(("ca_file", "cert_file", "key_file"), tls, strict=True)),
        }
        data |= {key: value for key, value in options.items() if value}
        return OperatorSettings.model_validate(data)
    except pydantic.ValidationError as exc:
        names = ", ".join(".".join(map(str, problem["loc"])) for problem in exc.errors())
        raise errors.ConfigurationError(
            f"settings: {names}: missing or invalid; use --settings or the options"
        ) from exc
    except (OSError, TypeError, UnicodeDecodeError, pyjson5.Json5Exception) as exc:
        raise errors.ConfigurationError(f"{path}: {exc}") from exc


def read_files(routes: pathlib.Path, pools: pathlib.Path) -> models.Tables:
    """Reads and parses the operators' files; raises ``errors.ConfigurationError``."""
    try:
        texts = routes.read_text(), pools.read_text()
    except (OSError, UnicodeDecodeError) as exc:
        raise errors.ConfigurationError(str(exc)) from exc
    return tables.parse(*texts, str(routes), str(pools))


def read_base(routes: pathlib.Path) -> models.Tables:
    """Returns the tables that the edit of the files is based on, empty ones if unknown."""
    path = _base_file(routes)
    try:
        return msgspec.json.decode(path.read_bytes(), type=models.Tables)
    except FileNotFoundError:
        return publish.EMPTY_TABLES
    except (OSError, msgspec.MsgspecError) as exc:
        raise errors.ConfigurationError(f"{path}: {exc}") from exc


def write_base(routes: pathlib.Path, content: models.Tables) -> None:
    """Stores the tables that the next edit of the files is based on."""
    _base_file(routes).write_bytes(msgspec.json.encode(content))


def _base_file(routes: pathlib.Path) -> pathlib.Path:
    return routes.with_name(routes.name + ".base")


class Session:
    """Connections of one command to the store, the platform and the VMs."""

    def __init__(self, cfg: OperatorSettings):
        self._cfg = cfg
        self._store = store.StoreClient(cfg.store_url)
        self._platform_client = vmlist.PlatformClient(cfg.platform_url)
        self._vm_list = vmlist.VmList(())
        tls = peers.TlsFiles(**cfg.tls.model_dump()) if cfg.tls else None
        self._caller = peers.Caller(messages.CONTROL_LIMIT_BYTES, tls)
        self._executor = concurrent.futures.ThreadPoolExecutor(CALL_WORKERS)
        self._known_vms: tuple[models.Vm, ...] = ()

    def close(self) -> None:
        self._executor.shutdown()
        self._caller.close()
        self._store.close()

    def vms(self) -> tuple[models.Vm, ...]:
        """Returns the VMs of the platform's list; raises ``errors.StoreUnavailableError``."""
        vm_list = self._platform_client.fetch()
        if vm_list is not None:
            self._vm_list = vm_list
        return self._vm_list.vms

    def statuses(self, vms: tuple[models.Vm, ...]) -> dict[models.Vm, messages.ConfigStatus | None]:
        """Queries the VMs concurrently; the status of a VM that did not respond is None."""
        return dict(zip(vms, self._executor.map(self._status, vms), strict=True))

    def stored_revision(self) -> int | None:
        """Returns the revision in the store, 0 without one, None if it cannot be read."""
        try:
            root = publish.read_root(self._store).root
        except errors.DotterelfrontError:
            return None
        return root.revision if root else 0

    def newest_configuration(self) -> tuple[revisions.Root | None, models.Tables, str]:
        """Returns the newest root and tables, and their source, ``"store"`` or ``"fleet"``."""
        fleet = self._fleet_configuration(partial=True)
        try:
            root = publish.read_root(self._store).root
            if fleet.root is None or (root and root.revision >= fleet.root.revision):
                return root, publish.read_tables(self._store, root), "store"
        except errors.StoreError:
            if fleet.root is None:
                raise
        content = revisions.assemble(fleet.root, fleet.chunks(fleet.root.chunks))
        return fleet.root, content, "fleet"

    def apply(
        self, edit: publish.Edit, fork_base: publish.ForkBase, partial_fleet: bool = False
    ) -> publish.Result:
        """Publishes an edit; see ``publish.apply_edit``."""
        return publish.apply_edit(
            self._store, self._fleet_configuration(partial_fleet), edit, fork_base
        )

    def sweep_unused_chunks(self) -> None:
        """Deletes unused chunks from the store if a sweep is due.

        Errors are ignored, because a later command sweeps again.
        """
        with contextlib.suppress(errors.DotterelfrontError):
            publish.sweep_if_due(self._store, time.time())

    def wait_in_force(
        self, revision: int, timeout_s: float, now: Callable[[], float]
    ) -> Iterator[tuple[int, list[str]]]:
        """Waits until all VMs of the platform's list have the revision or the timeout ends.

        After each poll, yields the number of VMs that have it and the ids of the others.
        """
        deadline = now() + timeout_s
        following: set[models.Vm] = set()
        while True:
            with contextlib.suppress(errors.StoreError):
                self._known_vms = self.vms()
            following &= set(self._known_vms)
            pending = tuple(vm for vm in self._known_vms if vm not in following)
            if timeout_s > 0:
                states = self.statuses(pending)
                following |= {vm for vm, state in states.items() if _has_revision(state, revision)}
            missing = [str(vm.id) for vm in self._known_vms if vm not in following]
            yield len(following), missing
            if not missing or now() >= deadline:
                return
            time.sleep(POLL_S)

    def _fleet_configuration(self, partial: bool) -> publish.FleetConfiguration:
        """Returns the newest configuration of the VMs that respond.

        Raises ``FleetUnreachableError`` if fewer than half respond, unless ``partial`` is true.
        """
        self._known_vms = self.vms()
        states = self.statuses(self._known_vms)
        answered = {vm: state for vm, state in states.items() if state}
        if not partial and 2 * len(answered) < len(self._known_vms):
            raise FleetUnreachableError(f"{len(answered)} of {len(self._known_vms)} VMs respond")
        newest_first = sorted(answered, key=lambda vm: answered[vm].revision, reverse=True)
        for vm in newest_first:
            if not answered[vm].revision:
                break

            def call(msg, vm=vm):
                return self._call(vm, msg)

            try:
                root = config_follower.pull_root(call)
            except errors.DotterelfrontError:
                continue
            return publish.FleetConfiguration(
                root, lambda names, call=call: config_follower.pull_chunks(call, names)
            )
        return publish.FleetConfiguration()

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


def _has_revision(state: messages.ConfigStatus | None, revision: int) -> bool:
    return state is not None and state.revision >= revision
