//! A fake of the state service: its keys and its transactions.

use super::FakeResponse;
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// Maximum size of a value.
const MAX_VALUE_BYTES: usize = 2_048;

struct StoredValue {
    value: Value,
    revision: u64,
}

#[derive(Default)]
pub(super) struct KeyValueStore {
    keys: BTreeMap<String, StoredValue>,
    revision: u64,
    change_count: u64,
}

impl KeyValueStore {
    /// Number of keys that were written or removed so far.
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    pub fn read(&self, key: &str) -> FakeResponse {
        match self.keys.get(key) {
            Some(stored) => FakeResponse::new(200, item_json(key, stored)),
            None => FakeResponse::new(404, json!({ "epoch": self.revision })),
        }
    }

    pub fn list(&self, query: &str) -> FakeResponse {
        let parameter = |name: &str| {
            let mut pairs = query.split('&');
            pairs.find_map(|p| p.strip_prefix(name)).unwrap_or_default()
        };
        let (prefix, after) = (parameter("prefix="), parameter("after="));
        let listed = self
            .keys
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<Value> = listed.map(|(key, stored)| item_json(key, stored)).collect();
        let body = json!({ "items": items, "more": false, "epoch": self.revision });
        FakeResponse::new(200, body)
    }

    /// Applies all changes if all conditions hold.
    pub fn transaction(&mut self, body: &[u8]) -> FakeResponse {
        let transaction: Value = serde_json::from_slice(body).expect("a transaction");
        for condition in transaction["when"].as_array().expect("conditions") {
            let key = condition["key"].as_str().expect("a key");
            if condition["stamp"] != self.keys.get(key).map_or(0, |stored| stored.revision) {
                let body = json!({ "failed": [key], "epoch": self.revision });
                return FakeResponse::new(409, body);
            }
        }
        self.revision += 1;
        for change in transaction["then"].as_array().expect("changes") {
            self.apply(change);
        }
        FakeResponse::new(200, json!({ "epoch": self.revision }))
    }

    fn apply(&mut self, change: &Value) {
        self.change_count += 1;
        if let Some(key) = change["write"].as_str() {
            let value = change["value"].clone();
            let bytes = value.to_string().len();
            assert!(bytes <= MAX_VALUE_BYTES, "the value is too large");
            let revision = self.revision;
            self.keys
                .insert(key.to_owned(), StoredValue { value, revision });
        } else if let Some(key) = change["remove"].as_str() {
            self.keys.remove(key);
        }
    }
}

fn item_json(key: &str, stored: &StoredValue) -> Value {
    json!({ "key": key, "value": stored.value, "stamp": stored.revision })
}
