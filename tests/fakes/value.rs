//! MessagePack values of any type. The fakes store and answer them, and tests build messages from them.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A MessagePack value, with the fields of a map in the order of their names.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Value {
    Nil(()),
    Bool(bool),
    Int(u64),
    Float(f64),
    Text(String),
    List(Vec<Value>),
    Map(BTreeMap<String, Value>),
}

/// A map with these fields.
pub fn map<const N: usize>(items: [(&str, Value); N]) -> Value {
    Value::Map(items.into_iter().map(|(k, v)| (k.to_owned(), v)).collect())
}

impl Value {
    /// A field of a map. `None`: the field is absent, or this is not a map.
    pub fn get(&self, key: &str) -> Option<&Value> {
        match self {
            Value::Map(m) => m.get(key),
            _ => None,
        }
    }

    /// A field's text, empty if the field is absent or of another type.
    pub fn text(&self, key: &str) -> String {
        match self.get(key) {
            Some(Value::Text(t)) => t.clone(),
            _ => String::new(),
        }
    }

    /// A field's number, 0 if the field is absent or of another type.
    pub fn int(&self, key: &str) -> u64 {
        match self.get(key) {
            Some(Value::Int(n)) => *n,
            _ => 0,
        }
    }

    /// A field's list, empty if the field is absent or of another type.
    pub fn list(&self, key: &str) -> Vec<Value> {
        match self.get(key) {
            Some(Value::List(l)) => l.clone(),
            _ => Vec::new(),
        }
    }
}

pub fn text(s: &str) -> Value {
    Value::Text(s.to_owned())
}
