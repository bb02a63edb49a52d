"""MessagePack without binary data: maps with text keys, lists, text, numbers, booleans and null."""
import struct


def pack(value):
    out = bytearray()
    _pack(value, out)
    return bytes(out)


def _pack(value, out):
    if value is None:
        out.append(0xC0)
    elif value is True:
        out.append(0xC3)
    elif value is False:
        out.append(0xC2)
    elif isinstance(value, int):
        _pack_int(value, out)
    elif isinstance(value, float):
        out += b"\xcb" + struct.pack(">d", value)
    elif isinstance(value, str):
        data = value.encode()
        if len(data) < 32:
            out.append(0xA0 | len(data))
        elif len(data) < 256:
            out += b"\xd9" + bytes([len(data)])
        else:
            out += b"\xda" + struct.pack(">H", len(data))
        out += data
    elif isinstance(value, (list, tuple)):
        _pack_length(len(value), 0x90, b"\xdc", b"\xdd", out)
        for item in value:
            _pack(item, out)
    elif isinstance(value, dict):
        _pack_length(len(value), 0x80, b"\xde", b"\xdf", out)
        for key, item in value.items():
            _pack(key, out)
            _pack(item, out)
    else:
        raise TypeError(type(value))


def _pack_length(length, fix, short, long, out):
    if length < 16:
        out.append(fix | length)
    elif length < 65536:
        out += short + struct.pack(">H", length)
    else:
        out += long + struct.pack(">I", length)


def _pack_int(value, out):
    if 0 <= value < 128:
        out.append(value)
    elif 0 <= value < 256:
        out += b"\xcc" + struct.pack(">B", value)
    elif 0 <= value < 65536:
        out += b"\xcd" + struct.pack(">H", value)
    elif 0 <= value < 1 << 32:
        out += b"\xce" + struct.pack(">I", value)
    elif value >= 0:
        out += b"\xcf" + struct.pack(">Q", value)
    else:
        out += b"\xd3" + struct.pack(">q", value)


def unpack(data):
    value, end = _unpack(data, 0)
    if end != len(data):
        raise ValueError("trailing bytes")
    return value


_FIXED = {
    0xCA: ">f", 0xCB: ">d", 0xCC: ">B", 0xCD: ">H", 0xCE: ">I", 0xCF: ">Q",
    0xD0: ">b", 0xD1: ">h", 0xD2: ">i", 0xD3: ">q",
}
_LENGTHS = {0xD9: ">B", 0xDA: ">H", 0xDB: ">I", 0xDC: ">H", 0xDD: ">I", 0xDE: ">H", 0xDF: ">I"}


def _unpack(data, at):
    tag = data[at]
    at += 1
    if tag < 0x80:
        return tag, at
    if tag >= 0xE0:
        return tag - 256, at
    if tag < 0x90:
        return _unpack_map(data, at, tag & 15)
    if tag < 0xA0:
        return _unpack_list(data, at, tag & 15)
    if tag < 0xC0:
        return data[at:at + (tag & 31)].decode(), at + (tag & 31)
    if tag == 0xC0:
        return None, at
    if tag in (0xC2, 0xC3):
        return tag == 0xC3, at
    if tag in _FIXED:
        form = _FIXED[tag]
        size = struct.calcsize(form)
        return struct.unpack_from(form, data, at)[0], at + size
    if tag in _LENGTHS:
        form = _LENGTHS[tag]
        length = struct.unpack_from(form, data, at)[0]
        at += struct.calcsize(form)
        if tag <= 0xDB:
            return data[at:at + length].decode(), at + length
        if tag <= 0xDD:
            return _unpack_list(data, at, length)
        return _unpack_map(data, at, length)
    raise ValueError("tag %x" % tag)


def _unpack_list(data, at, length):
    items = []
    for _ in range(length):
        item, at = _unpack(data, at)
        items.append(item)
    return items, at


def _unpack_map(data, at, length):
    items = {}
    for _ in range(length):
        key, at = _unpack(data, at)
        items[key], at = _unpack(data, at)
    return items, at
