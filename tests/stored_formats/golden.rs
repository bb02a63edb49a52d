//! Golden files. Each row holds the name of a value, ` = ` and the bytes in which the value is encoded, in
//! the notation of `escape_ascii`: bytes that are not printable are written as `\xNN`.

use cypressgap::net::wire::decode;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;

/// The rows of one golden file. The test has to use each of them.
pub struct GoldenFile {
    rows: BTreeMap<&'static str, Vec<u8>>,
    used: BTreeSet<&'static str>,
}

impl GoldenFile {
    /// Parses the text of a golden file.
    pub fn parse(text: &'static str) -> GoldenFile {
        let rows = text.lines().map(|l| l.split_once(" = ").expect("a row"));
        GoldenFile {
            rows: rows.map(|(name, bytes)| (name, unescape(bytes))).collect(),
            used: BTreeSet::new(),
        }
    }

    /// The bytes of the row with this name, which counts as used from then on. Panics if there is no
    /// such row.
    pub fn bytes(&mut self, name: &str) -> Vec<u8> {
        let (name, bytes) = self.rows.get_key_value(name).expect(name);
        self.used.insert(name);
        bytes.clone()
    }

    /// Checks that an encoded value has the bytes of the row with this name, and returns these bytes.
    pub fn check_encoding(&mut self, name: &str, bytes: &[u8]) -> Vec<u8> {
        let golden = self.bytes(name);
        let (actual, expected) = (bytes.escape_ascii(), golden.escape_ascii());
        assert_eq!(actual.to_string(), expected.to_string(), "{name}");
        golden
    }

    /// Checks that a value is encoded as the bytes of the row, and that these bytes are decoded as the value.
    pub fn check_round_trip<T: PartialEq + Debug>(
        &mut self,
        name: &str,
        value: T,
        encode: impl Fn(&T) -> Vec<u8>,
        decode: impl Fn(&[u8]) -> T,
    ) {
        let golden = self.check_encoding(name, &encode(&value));
        assert_eq!(decode(&golden), value, "{name}");
    }

    /// Fails if the file has a row that the test has not used.
    pub fn check_all_used(self) {
        let unused = self.rows.keys().filter(|name| !self.used.contains(*name));
        assert_eq!(unused.collect::<Vec<_>>(), Vec::<&&str>::new());
    }
}

/// Decodes the notation of `escape_ascii`.
fn unescape(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'\\' {
            out.push(byte);
            continue;
        }
        out.push(match rest.next().expect("an escape") {
            b't' => b'\t',
            b'r' => b'\r',
            b'n' => b'\n',
            b'x' => {
                let digits = [rest.next().expect("a digit"), rest.next().expect("a digit")];
                let digits = std::str::from_utf8(&digits).expect("digits");
                u8::from_str_radix(digits, 16).expect("digits")
            }
            escaped => escaped,
        });
    }
    out
}

/// Decodes a MessagePack value. Panics if the bytes are not a value of this type.
pub fn read<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> T {
    decode(bytes).expect("a valid value")
}
