//! Taking fields out of a document.

use serde_json::{Map, Value};

use crate::{Faults, Form};

/// Longest excerpt of a wrong value shown in a fault, in characters.
const EXCERPT: usize = 60;

/// A mapping whose fields are taken one by one.
pub struct Fields {
    path: String,
    map: Map<String, Value>,
}

impl Fields {
    /// The fields of a whole document.
    pub fn root(value: Value, faults: &mut Faults) -> Self {
        Item { path: String::new(), value: Some(value) }.fields(faults)
    }

    /// Takes the field `key`, which may be missing.
    pub fn take(&mut self, key: &str) -> Item {
        Item { path: join(&self.path, key), value: self.map.remove(key) }
    }

    /// Adds a fault for each field that was not taken.
    pub fn end(self, faults: &mut Faults) {
        for key in self.map.keys() {
            faults.add(&join(&self.path, key), "no such field", "an unknown field");
        }
    }
}

/// One value with its place in the document.
pub struct Item {
    path: String,
    value: Option<Value>,
}

impl Item {
    /// The value's place.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Whether there is a value; a null counts as none.
    pub fn given(&self) -> bool {
        self.value.as_ref().is_some_and(|v| !v.is_null())
    }

    /// Reads a value that must be there.
    pub fn read<T>(self, form: &Form<T>, faults: &mut Faults) -> Option<T> {
        let read = self.value.as_ref().and_then(form.read);
        if read.is_none() {
            faults.add(&self.path, form.wanted, &found(self.value.as_ref()));
        }
        read
    }

    /// Reads a value that must be there and keeps it out of the fault.
    pub fn read_secret<T>(self, form: &Form<T>, faults: &mut Faults) -> Option<T> {
        let read = self.value.as_ref().and_then(form.read);
        if read.is_none() {
            faults.add(&self.path, form.wanted, "another text, not shown");
        }
        read
    }

    /// Reads a value that may be missing.
    pub fn maybe<T>(self, form: &Form<T>, faults: &mut Faults) -> Option<T> {
        if !self.given() {
            return None;
        }
        self.read(form, faults)
    }

    /// Reads a value that has a default.
    pub fn or<T>(self, default: T, form: &Form<T>, faults: &mut Faults) -> T {
        self.maybe(form, faults).unwrap_or(default)
    }

    /// The fields of a mapping. A missing mapping reads as an empty one, so that each field it
    /// should hold is named.
    pub fn fields(self, faults: &mut Faults) -> Fields {
        let map = match self.value {
            Some(Value::Object(map)) => map,
            None | Some(Value::Null) => Map::new(),
            other => {
                faults.add(&self.path, "a mapping", &found(other.as_ref()));
                Map::new()
            }
        };
        Fields { path: self.path, map }
    }

    /// Reads each element of a list that must be there.
    pub fn list<T>(self, form: &Form<T>, faults: &mut Faults) -> Vec<T> {
        match self.value {
            Some(Value::Array(values)) => {
                let items = values.into_iter().enumerate().map(|(i, value)| Self {
                    path: format!("{}[{i}]", self.path),
                    value: Some(value),
                });
                items.filter_map(|item| item.read(form, faults)).collect()
            }
            other => {
                faults.add(&self.path, "a list", &found(other.as_ref()));
                Vec::new()
            }
        }
    }

    /// Reads each element of a list that may be missing.
    pub fn maybe_list<T>(self, form: &Form<T>, faults: &mut Faults) -> Option<Vec<T>> {
        self.given().then(|| self.list(form, faults))
    }
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() { key.into() } else { format!("{path}.{key}") }
}

fn found(value: Option<&Value>) -> String {
    let Some(value) = value else {
        return "nothing".into();
    };
    let text = value.to_string();
    if text.chars().count() <= EXCERPT {
        return text;
    }
    text.chars().take(EXCERPT).chain("…".chars()).collect()
}
