//! MessagePack values of any shape, as the store keeps them and the tests write them by hand.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Any MessagePack value, kept as it came.
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

pub fn map<const N: usize>(items: [(&str, Value); N]) -> Value {
    Value::Map(items.into_iter().map(|(k, v)| (k.to_owned(), v)).collect())
}

impl Value {
    pub fn get(&self, key: &str) -> Option<&Value> {
        match self {
            Value::Map(m) => m.get(key),
            _ => None,
        }
    }
    pub fn text(&self, key: &str) -> String {
        match self.get(key) {
            Some(Value::Text(t)) => t.clone(),
            _ => String::new(),
        }
    }
    pub fn int(&self, key: &str) -> u64 {
        match self.get(key) {
            Some(Value::Int(n)) => *n,
            _ => 0,
        }
    }
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
