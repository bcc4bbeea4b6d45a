//! Reads fields of a document.

use serde_json::{Map, Value};

use crate::{Faults, Form};

/// Longest excerpt of a wrong value in a fault, in characters.
const MAX_EXCERPT_CHARS: usize = 60;

/// The fields of a mapping that were not taken yet.
pub struct Fields {
    path: String,
    map: Map<String, Value>,
}

impl Fields {
    /// Returns the fields of a document. Adds a fault if `value` is not a mapping.
    pub fn root(value: Value, faults: &mut Faults) -> Self {
        Item { path: String::new(), value: Some(value) }.fields(faults)
    }

    /// Takes out the field `key`. The returned item has no value if the field is missing.
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

/// A value with its path in the document. The value may be missing.
pub struct Item {
    path: String,
    value: Option<Value>,
}

impl Item {
    /// Path of the value in the document.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Whether there is a value other than null.
    pub fn given(&self) -> bool {
        self.value.as_ref().is_some_and(|v| !v.is_null())
    }

    /// Reads a required value. Adds a fault and returns `None` if it is missing or does not parse.
    pub fn read<T>(self, form: &Form<T>, faults: &mut Faults) -> Option<T> {
        let read = self.value.as_ref().and_then(form.read);
        if read.is_none() {
            faults.add(&self.path, form.wanted, &describe(self.value.as_ref()));
        }
        read
    }

    /// Like [`Item::read`], but the fault does not show the value.
    pub fn read_secret<T>(self, form: &Form<T>, faults: &mut Faults) -> Option<T> {
        let read = self.value.as_ref().and_then(form.read);
        if read.is_none() {
            faults.add(&self.path, form.wanted, "another text, not shown");
        }
        read
    }

    /// Reads an optional value. Returns `None` if it is missing, null or does not parse. In the
    /// last case it also adds a fault.
    pub fn maybe<T>(self, form: &Form<T>, faults: &mut Faults) -> Option<T> {
        if !self.given() {
            return None;
        }
        self.read(form, faults)
    }

    /// Reads an optional value. Returns `default` if it is missing, null or does not parse. In the
    /// last case it also adds a fault.
    pub fn or<T>(self, default: T, form: &Form<T>, faults: &mut Faults) -> T {
        self.maybe(form, faults).unwrap_or(default)
    }

    /// Returns the fields of a mapping. A missing mapping is read as an empty one, so that each of
    /// its required fields is reported. Adds a fault if the value is not a mapping.
    pub fn fields(self, faults: &mut Faults) -> Fields {
        let map = match self.value {
            Some(Value::Object(map)) => map,
            None | Some(Value::Null) => Map::new(),
            other => {
                faults.add(&self.path, "a mapping", &describe(other.as_ref()));
                Map::new()
            }
        };
        Fields { path: self.path, map }
    }

    /// Reads the elements of a required list. Adds a fault for each element that does not parse and
    /// leaves it out, or one fault if the value is not a list.
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
                faults.add(&self.path, "a list", &describe(other.as_ref()));
                Vec::new()
            }
        }
    }

    /// Like [`Item::list`] for an optional list. Returns `None` if it is missing or null.
    pub fn maybe_list<T>(self, form: &Form<T>, faults: &mut Faults) -> Option<Vec<T>> {
        self.given().then(|| self.list(form, faults))
    }
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() { key.into() } else { format!("{path}.{key}") }
}

/// Describes the actual value in a fault.
fn describe(value: Option<&Value>) -> String {
    let Some(value) = value else {
        return "nothing".into();
    };
    let text = value.to_string();
    if text.chars().count() <= MAX_EXCERPT_CHARS {
        return text;
    }
    text.chars().take(MAX_EXCERPT_CHARS).chain("…".chars()).collect()
}
