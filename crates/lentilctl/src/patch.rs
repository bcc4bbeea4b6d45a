//! Sets single fields of a document.

use std::str::FromStr;

use serde_json::{Map, Value};

/// One field and its new value.
#[derive(Debug, Clone, PartialEq)]
pub struct Assignment {
    /// Keys from the top level to the field. Invariant: at least one key, and no key is empty.
    pub path: Vec<String>,
    /// The new value; null removes the field.
    pub value: Value,
}

/// A field that can't be set.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PatchError {
    /// The text is not PATH=VALUE.
    #[error("wanted PATH=VALUE, such as params.limits.rate=20")]
    Syntax,
    /// The value is not YAML.
    #[error("the value is not YAML: {0}")]
    Yaml(String),
    /// A value on the path is not a mapping; holds its path.
    #[error("{0} has no fields; set it as a whole")]
    NotMapping(String),
}

impl FromStr for Assignment {
    type Err = PatchError;

    fn from_str(text: &str) -> Result<Self, PatchError> {
        let (path, value) = text.split_once('=').ok_or(PatchError::Syntax)?;
        let path: Vec<_> = path.split('.').map(str::to_owned).collect();
        if path.iter().any(String::is_empty) {
            return Err(PatchError::Syntax);
        }
        let value = serde_norway::from_str(value).map_err(|e| PatchError::Yaml(e.to_string()))?;
        Ok(Self { path, value })
    }
}

impl Assignment {
    /// Path of the field, with dots between the keys.
    pub fn dotted(&self) -> String {
        self.path.join(".")
    }

    /// Current value of the field; null if it does not exist.
    pub fn current<'a>(&self, doc: &'a Value) -> &'a Value {
        self.path.iter().fold(doc, |at, key| at.get(key).unwrap_or(&Value::Null))
    }

    /// Sets the field, or removes it if the new value is null. Creates missing mappings on the
    /// path.
    pub fn apply(&self, doc: &mut Value) -> Result<(), PatchError> {
        let (last, parents) = self.path.split_last().expect("a path has at least one key");
        let mut at = doc;
        for (i, key) in parents.iter().enumerate() {
            at = as_mapping(at, &self.path[..i])?.entry(key).or_insert(Value::Null);
        }
        let map = as_mapping(at, parents)?;
        match &self.value {
            Value::Null => map.remove(last),
            value => map.insert(last.clone(), value.clone()),
        };
        Ok(())
    }
}

fn as_mapping<'a>(
    at: &'a mut Value,
    path: &[String],
) -> Result<&'a mut Map<String, Value>, PatchError> {
    if at.is_null() {
        *at = Value::Object(Map::new());
    }
    at.as_object_mut().ok_or_else(|| PatchError::NotMapping(path.join(".")))
}
