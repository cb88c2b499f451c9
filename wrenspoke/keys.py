"""Secret keys of a deployment: generated once, read at each start."""

import hashlib
import json
import os
import pathlib
import secrets

from wrenspoke import ids
from wrenspoke import settings
from wrenspoke.transport import links

CLUSTER_KEY_FILE = 'cluster.key'
CLUSTER_KEY_BYTES = 32
SECRET_MODE = 0o600
FOLDER_MODE = 0o700


def generate_keys(path: pathlib.Path) -> int:
    """Generate keys for every host of a settings file; return their number.

    The public keys are written to the file, the secret keys to its keys
    folder, readable by the owner only.
    """
    deployment = json.loads(path.read_text())
    folder = path.parent / deployment.get('keys_folder', 'keys')
    folder.mkdir(mode=FOLDER_MODE, parents=True, exist_ok=True)
    for host in deployment['hosts']:
        host['public_key'], secret_key = links.new_keys()
        _write_secret(folder / f'{host["host"]}.key', secret_key)
    _write_secret(
        folder / CLUSTER_KEY_FILE, secrets.token_hex(CLUSTER_KEY_BYTES)
    )
    path.write_text(json.dumps(deployment, indent=2) + '\n')
    return len(deployment['hosts'])


def _write_secret(path: pathlib.Path, text: str) -> None:
    path.unlink(missing_ok=True)
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT, SECRET_MODE)
    with os.fdopen(descriptor, 'w') as file:
        file.write(text + '\n')


def _read_secret(path: pathlib.Path) -> str:
    try:
        return path.read_text().strip()
    except OSError as error:
        raise settings.SettingsError(
            [f'keys_folder: {path.name}: {error.strerror}']
        ) from error


def read_cluster_key(folder: pathlib.Path) -> bytes:
    """Return the key that signs hops between regions."""
    return bytes.fromhex(_read_secret(folder / CLUSTER_KEY_FILE))


def read_identity(
    folder: pathlib.Path,
    deployment: settings.Deployment,
    host: settings.HostSettings,
) -> links.Identity:
    """Return the identity by which a host authenticates on its links."""
    return links.Identity(
        cluster=deployment.cluster,
        host=host.host,
        public_key=host.public_key,
        secret_key=_read_secret(folder / f'{host.host}.key'),
    )


def token_digest(token: str) -> str:
    """Return the hash of an operator's token, as stored in settings."""
    return hashlib.sha256(token.encode()).hexdigest()


def link_peers(deployment: settings.Deployment) -> list[links.Peer]:
    """Return the link address and the public key of every host."""
    return [
        links.Peer(
            ids.HostId(entry.host),
            str(entry.ip),
            entry.link_port,
            entry.public_key,
        )
        for entry in deployment.hosts
    ]
