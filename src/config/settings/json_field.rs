//! A JSON value with its path, so that each error names its field.

use super::ConfigError;
use serde_json::Value;

/// Upper bound of counts; a larger one is a mistake in the settings.
const MAX_COUNT: f64 = 1e6;

/// A value and its path from the root, for example `plans[2].rate`.
pub(super) struct JsonField<'a> {
    value: &'a Value,
    path: String,
}

impl<'a> JsonField<'a> {
    /// The object that paths start at.
    pub fn root(value: &'a Value) -> JsonField<'a> {
        JsonField {
            value,
            path: String::new(),
        }
    }

    /// A placeholder for an absent field.
    pub fn placeholder(value: &'a Value, key: &str) -> JsonField<'a> {
        JsonField {
            value,
            path: key.to_string(),
        }
    }

    pub fn value(&self) -> &'a Value {
        self.value
    }

    pub fn path(&self) -> &str {
        &self.path
    }

    /// A field of this object; `None` if it is absent or null.
    pub fn get(&self, key: &str) -> Option<JsonField<'a>> {
        let value = self.value.get(key).filter(|value| !value.is_null())?;
        Some(JsonField {
            value,
            path: self.path_of(key),
        })
    }

    pub fn require(&self, key: &str) -> Result<JsonField<'a>, ConfigError> {
        self.get(key).ok_or_else(|| ConfigError::Missing {
            field: self.path_of(key),
        })
    }

    fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_string()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    pub fn number(&self) -> Result<f64, ConfigError> {
        self.value
            .as_f64()
            .ok_or_else(|| self.unexpected("a number"))
    }

    /// A whole number of at least 0. A count of -1 or 2.5 is a mistake and is not rounded.
    pub fn count(&self) -> Result<u32, ConfigError> {
        let number = self.number()?;
        if !(0.0..=MAX_COUNT).contains(&number) || number.fract() != 0.0 {
            return Err(self.unexpected("a whole number from 0 to 1000000"));
        }
        Ok(number as u32)
    }

    pub fn text(&self) -> Result<&'a str, ConfigError> {
        self.value
            .as_str()
            .ok_or_else(|| self.unexpected("a string"))
    }

    pub fn flag(&self) -> Result<bool, ConfigError> {
        self.value
            .as_bool()
            .ok_or_else(|| self.unexpected("true or false"))
    }

    pub fn items(&self) -> Result<Vec<JsonField<'a>>, ConfigError> {
        let list = self
            .value
            .as_array()
            .ok_or_else(|| self.unexpected("a list"))?;
        let items = list.iter().enumerate().map(|(i, value)| JsonField {
            value,
            path: format!("{}[{i}]", self.path),
        });
        Ok(items.collect())
    }

    /// The strings of a list.
    pub fn strings(&self) -> Result<Vec<String>, ConfigError> {
        let items = self.items()?;
        items
            .iter()
            .map(|item| Ok(item.text()?.to_string()))
            .collect()
    }

    pub fn number_or(&self, key: &str, default: f64) -> Result<f64, ConfigError> {
        self.get(key).map_or(Ok(default), |field| field.number())
    }

    pub fn count_or(&self, key: &str, default: u32) -> Result<u32, ConfigError> {
        self.get(key).map_or(Ok(default), |field| field.count())
    }

    pub fn flag_or(&self, key: &str, default: bool) -> Result<bool, ConfigError> {
        self.get(key).map_or(Ok(default), |field| field.flag())
    }

    pub fn text_or(&self, key: &str, default: &'a str) -> Result<&'a str, ConfigError> {
        self.get(key).map_or(Ok(default), |field| field.text())
    }

    pub fn unexpected(&self, expected: &'static str) -> ConfigError {
        ConfigError::Unexpected {
            field: self.path.clone(),
            expected,
        }
    }

    pub fn unknown_name(&self, kind: &'static str, value: &str) -> ConfigError {
        ConfigError::UnknownName {
            field: self.path.clone(),
            kind,
            value: value.to_string(),
        }
    }
}
