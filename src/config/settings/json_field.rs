//! A value of a JSON object with its path, so that each error names its field.

use super::ConfigError;
use serde_json::Value;

/// Most of anything that is counted: more is a mistake in the settings.
const MAX_COUNT: f64 = 1e6;

/// A value and its path from the root, such as `plans[2].rate`.
pub(super) struct JsonField<'a> {
    value: &'a Value,
    path: String,
}

impl<'a> JsonField<'a> {
    /// An object that paths begin at.
    pub fn root(value: &'a Value) -> JsonField<'a> {
        JsonField {
            value,
            path: String::new(),
        }
    }

    /// A field that stands in for one that is absent.
    pub fn standing_in(value: &'a Value, key: &str) -> JsonField<'a> {
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

    /// A field of this object, unless it is absent or null.
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

    /// A whole number, 0 or more: -1 or 2.5 of something countable is a mistake, not a 0 or a 2.
    pub fn count(&self) -> Result<u32, ConfigError> {
        let number = self.number()?;
        if !(0.0..=MAX_COUNT).contains(&number) || number.fract() != 0.0 {
            return Err(self.unexpected("a whole number from 0 to 1000000"));
        }
        Ok(number as u32)
    }

    pub fn text(&self) -> Result<&'a str, ConfigError> {
        self.value.as_str().ok_or_else(|| self.unexpected("a text"))
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

    /// The texts of a list.
    pub fn texts(&self) -> Result<Vec<String>, ConfigError> {
        let items = self.items()?;
        items
            .iter()
            .map(|item| Ok(item.text()?.to_string()))
            .collect()
    }

    pub fn number_or(&self, key: &str, absent: f64) -> Result<f64, ConfigError> {
        self.get(key).map_or(Ok(absent), |field| field.number())
    }

    pub fn count_or(&self, key: &str, absent: u32) -> Result<u32, ConfigError> {
        self.get(key).map_or(Ok(absent), |field| field.count())
    }

    pub fn flag_or(&self, key: &str, absent: bool) -> Result<bool, ConfigError> {
        self.get(key).map_or(Ok(absent), |field| field.flag())
    }

    pub fn text_or(&self, key: &str, absent: &'a str) -> Result<&'a str, ConfigError> {
        self.get(key).map_or(Ok(absent), |field| field.text())
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
