//! Files of golden bytes: a row for each value, with its name, ` = ` and the bytes, those that are not
//! printable as `\xNN`.

use cypressgap::net::wire::decode;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;

/// The rows of one file. All of them have to be used.
pub struct Golden {
    rows: BTreeMap<&'static str, Vec<u8>>,
    used: BTreeSet<&'static str>,
}

impl Golden {
    /// Reads the text of a file.
    pub fn of(file: &'static str) -> Golden {
        let rows = file.lines().map(|l| l.split_once(" = ").expect("a row"));
        Golden {
            rows: rows.map(|(name, b)| (name, unescape(b))).collect(),
            used: BTreeSet::new(),
        }
    }

    /// The bytes of a row.
    pub fn sample(&mut self, name: &str) -> Vec<u8> {
        let (name, bytes) = self.rows.get_key_value(name).expect(name);
        self.used.insert(name);
        bytes.clone()
    }

    /// The bytes of a row, which are the bytes that were written.
    pub fn written(&mut self, name: &str, bytes: &[u8]) -> Vec<u8> {
        let golden = self.sample(name);
        let (new, old) = (bytes.escape_ascii(), golden.escape_ascii());
        assert_eq!(new.to_string(), old.to_string(), "{name}");
        golden
    }

    /// A value is written as the row has it, and the row is read as that value.
    pub fn both<T: PartialEq + Debug>(
        &mut self,
        name: &str,
        value: T,
        write: impl Fn(&T) -> Vec<u8>,
        read: impl Fn(&[u8]) -> T,
    ) {
        let golden = self.written(name, &write(&value));
        assert_eq!(read(&golden), value, "{name}");
    }

    /// Fails if a row of the file belongs to no value.
    pub fn finish(self) {
        let unused = self.rows.keys().filter(|name| !self.used.contains(*name));
        assert_eq!(unused.collect::<Vec<_>>(), Vec::<&&str>::new());
    }
}

/// Reads what `escape_ascii` writes.
fn unescape(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let mut left = text.bytes();
    while let Some(byte) = left.next() {
        if byte != b'\\' {
            out.push(byte);
            continue;
        }
        out.push(match left.next().expect("an escape") {
            b't' => b'\t',
            b'r' => b'\r',
            b'n' => b'\n',
            b'x' => {
                let digits = [left.next().expect("a digit"), left.next().expect("a digit")];
                let digits = std::str::from_utf8(&digits).expect("digits");
                u8::from_str_radix(digits, 16).expect("digits")
            }
            itself => itself,
        });
    }
    out
}

/// Reads a value of MessagePack.
pub fn read<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> T {
    decode(bytes).expect("it is read")
}
