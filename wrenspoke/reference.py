"""Generate docs/SETTINGS.md from the settings models."""

import inspect

import msgspec
import pydantic
import pydantic_core

from wrenspoke import node
from wrenspoke import settings

HEAD = """# Settings

One JSON file for a deployment; every process reads the same one and is
told on its command line which host it is. `wrenspoke settings check FILE`
names every wrong field. Unknown fields are errors. This page is made by
`python -m wrenspoke.reference > docs/SETTINGS.md`, and a test compares
them. Names end in their unit: `_ms` milliseconds, `_bytes` bytes, `_per_s`
a second.
"""
SECTIONS = (
    ('the file', settings.Deployment),
    ('hosts', settings.HostSettings),
    ('links', settings.RegionLink),
    ('entry', settings.EntrySettings),
    ('ledger', settings.LedgerSettings),
    ('control', settings.ControlSettings),
    ('operators', settings.OperatorSettings),
    ('services', settings.ServiceSettings),
    ('endpoints', settings.EndpointSettings),
    ('rules', settings.RuleSettings),
    ('limits', settings.LimitSettings),
)


NODE_HEAD = """# Settings of one host

Where hosts find each other at run time, each has a JSON file of its own
instead of the deployment's (`wrenspoke.node`). Unknown fields are errors.
`deploy/node.json` is the template of it for the users' platform.
"""
NODE_SECTIONS = (
    ('the file of a host', node.NodeSettings),
    ('control of a host', node.NodeControlSettings),
    ('entry of a host', node.NodeEntrySettings),
    ('retries of a host', node.RetryBudgetSettings),
    ('limits of a host', node.OvershootSettings),
    ('admission of a host', node.AdmissionSettings),
    ('balancing of a host', node.BalancingSettings),
    ('buffering of a host', node.BufferingSettings),
    ('request_path of a host', node.RequestPathSettings),
    ('resources of a host', node.HostResources),
)


def text() -> str:
    """Return the page as Markdown."""
    parts = [HEAD]
    for title, model in SECTIONS:
        parts.append(f'## {title}\n')
        parts.append('| field | default | allowed | meaning |')
        parts.append('| --- | --- | --- | --- |')
        schema = model.model_json_schema()
        for name, field in model.model_fields.items():
            parts.append(_row(name, field, schema))
        parts.append('')
    parts.append(NODE_HEAD)
    for title, kind in NODE_SECTIONS:
        parts.append(f'## {title}\n')
        parts.append(inspect.getdoc(kind) + '\n')
        parts.append('| field | default |')
        parts.append('| --- | --- |')
        for field in msgspec.structs.fields(kind):
            parts.append(f'| `{field.name}` | {_node_default(field)} |')
        parts.append('')
    return '\n'.join(parts)


def _node_default(field: msgspec.structs.FieldInfo) -> str:
    if field.required:
        return 'required'
    if isinstance(field.default, msgspec.Struct):
        return 'see below'
    return f'`{msgspec.json.encode(field.default).decode()}`'


def _row(name: str, field: pydantic.fields.FieldInfo, schema: dict) -> str:
    default = 'required'
    if not field.is_required():
        value = field.get_default(call_default_factory=True)
        if isinstance(value, pydantic.BaseModel):
            default = 'see below'
        else:
            default = f'`{pydantic_core.to_json(value).decode()}`'
    allowed = _allowed(schema['properties'][name], schema.get('$defs', {}))
    return f'| `{name}` | {default} | {allowed} | {field.description} |'


def _allowed(found: dict, defs: dict) -> str:
    if 'anyOf' in found:
        return ' or '.join(_allowed(one, defs) for one in found['anyOf'])
    if '$ref' in found:
        named = defs[found['$ref'].rsplit('/', 1)[1]]
        return _allowed(named, defs)
    if 'enum' in found:
        return ', '.join(f'`{one}`' for one in found['enum'])
    if found.get('type') == 'array':
        item = found.get('items') or {}
        return f'list of {_allowed(item, defs)}' if item else 'list'
    if found.get('type') == 'object':
        return 'section'
    parts = [found.get('type', '')]
    for key, word in (
        ('minimum', 'from'),
        ('exclusiveMinimum', 'over'),
        ('maximum', 'to'),
        ('pattern', 'as'),
    ):
        if key in found:
            value = found[key]
            shown = f'`{value}`' if key == 'pattern' else value
            parts.append(f'{word} {shown}')
    return ' '.join(str(part) for part in parts).replace('|', '\\|')


if __name__ == '__main__':
    print(text(), end='')
