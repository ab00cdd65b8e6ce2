//! The operator's file: what an operator sets up beyond what the platform tells an ingress. It owns the names
//! of its fields and the one-line message on a wrong one. It must never be needed on the platform, and
//! never repeat a setting of the platform's.

use crate::discovery::inventory::InventorySettings;
use crate::frontend::http2::Limits;
use crate::group::GroupSettings;
use crate::plugin::PluginSettings;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// A file that cannot be used; the text names the field.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct OperatorFileError(pub String);

/// The file.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorFile {
    /// The HTTP/2 front; off where it is absent.
    pub http2: Option<Http2>,
    /// Endpoints beside those that discovery names.
    pub inventory: Option<InventorySettings>,
    /// The hook before the decision.
    pub plugin: Option<PluginSettings>,
    /// Rules: in a file of their own, or here.
    pub routes: Option<Routes>,
    /// The group of ingresses; off where it is absent.
    pub group: Option<GroupSettings>,
    /// The file itself.
    #[serde(skip)]
    pub path: PathBuf,
    /// Where relative paths count from.
    #[serde(skip)]
    pub folder: PathBuf,
}

/// Where the rules are. Their form is judged where they are read, with the place of every fault.
#[derive(Clone, Debug, Deserialize)]
pub struct Routes {
    /// A file of their own.
    pub file: Option<PathBuf>,
    /// What stands here besides.
    #[serde(flatten)]
    pub here: toml::Table,
}

/// The HTTP/2 front.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Http2 {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Most open streams on one connection.
    #[serde(default = "streams")]
    pub streams: u32,
    /// Most connections.
    #[serde(default = "connections")]
    pub connections: usize,
}

fn streams() -> u32 {
    128
}

fn connections() -> usize {
    64
}

impl Http2 {
    /// The front's bounds.
    pub fn limits(&self) -> Limits {
        Limits {
            streams: self.streams,
            connections: self.connections,
        }
    }
}

impl OperatorFile {
    /// The file's content from its text.
    ///
    /// # Errors
    /// The first field that makes no sense.
    pub fn parse(text: &str) -> Result<OperatorFile, OperatorFileError> {
        let value = toml::Deserializer::parse(text).map_err(|e| one_line(&e, text))?;
        let operator: OperatorFile = serde_path_to_error::deserialize(value).map_err(|e| {
            let path = e.path().to_string();
            let problem = one_line(e.inner(), text);
            OperatorFileError(format!("{path}: {problem}"))
        })?;
        let wrong =
            |field: &str, problem: &str| Err(OperatorFileError(format!("{field}: {problem}")));
        if let Some(http2) = &operator.http2 {
            if http2.streams == 0 || http2.streams > 10_000 {
                return wrong("http2.streams", "must be from 1 to 10000");
            }
            if http2.connections == 0 || http2.connections > 10_000 {
                return wrong("http2.connections", "must be from 1 to 10000");
            }
        }
        if let Some(inventory) = &operator.inventory {
            for (field, share) in [
                ("shorter", inventory.shorter),
                ("taken_out", inventory.taken_out),
            ] {
                if !(0.0..=1.0).contains(&share) {
                    return wrong(&format!("inventory.{field}"), "must be from 0 to 1");
                }
            }
            if !(0.0..=3.6e6).contains(&inventory.confirm_after_ms) {
                return wrong("inventory.confirm_after_ms", "must be from 0 to 3600000");
            }
        }
        if operator
            .routes
            .as_ref()
            .is_some_and(|routes| routes.file.is_some() && !routes.here.is_empty())
        {
            return wrong(
                "routes.file",
                "stands beside rules: they are in a file of their own or here",
            );
        }
        if let Some(Err((field, problem))) = operator.group.as_ref().map(GroupSettings::judge) {
            return wrong(field, &problem);
        }
        if let Some(plugin) = &operator.plugin {
            if plugin.operations == 0 {
                return wrong("plugin.operations", "must be above 0");
            }
            if plugin.size == 0 || plugin.size > 1 << 20 {
                return wrong("plugin.size", "must be from 1 to 1048576");
            }
        }
        Ok(operator)
    }

    /// Reads the file.
    ///
    /// # Errors
    /// It cannot be read, or a field makes no sense.
    pub fn read(path: &Path) -> Result<OperatorFile, OperatorFileError> {
        let text = std::fs::read_to_string(path).map_err(|e| OperatorFileError(e.to_string()))?;
        let operator = OperatorFile::parse(&text)?;
        let folder = path.parent().unwrap_or(Path::new("")).to_path_buf();
        Ok(OperatorFile {
            folder,
            path: path.to_path_buf(),
            ..operator
        })
    }
}

fn one_line(error: &toml::de::Error, text: &str) -> OperatorFileError {
    let line = error.span().map_or(0, |span| {
        text[..span.start.min(text.len())].lines().count().max(1)
    });
    OperatorFileError(format!(
        "line {line}: {}",
        error.message().replace('\n', " ")
    ))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_wrong_is_one_line_that_names_the_field() {
        let cases = [
            ("[http2]\nlisten = 5\n", "http2.listen"),
            ("[http2]\nlisten = \"here\"\n", "http2.listen"),
            (
                "[http2]\nlisten = \"127.0.0.1:1\"\nstreams = 0\n",
                "http2.streams",
            ),
            (
                "[http2]\nlisten = \"127.0.0.1:1\"\nstreams = -1\n",
                "http2.streams",
            ),
            ("[http2]\nlisten = \"127.0.0.1:1\"\nspeed = 1\n", "speed"),
            ("[http2]\n", "listen"),
            (
                "[plugin]\nscript = \"x\"\non_error = \"maybe\"\n",
                "plugin.on_error",
            ),
            ("[plugin]\nscript = \"x\"\nsize = 0\n", "plugin.size"),
            ("[inventory]\nfile = 1\n", "inventory.file"),
            (
                "[inventory]\nfile = \"x\"\nshorter = 2\n",
                "inventory.shorter",
            ),
            (
                "[routes]\nfile = \"r.toml\"\n[[routes.rule]]\nname = \"a\"\n",
                "routes.file",
            ),
            ("[group]\nlisten = \"127.0.0.1:1\"\n", "group"),
            (
                "[group]\nlisten = \"x\"\nfolder = \"f\"\nmembers = {}\n",
                "group.listen",
            ),
            (
                "[group]\nlisten = \"127.0.0.1:1\"\nfolder = \"f\"\nmembers = {}\n",
                "group.members",
            ),
            ("[htpp2]\n", "htpp2"),
            ("[http2\n", "line 1"),
        ];
        for (text, want) in cases {
            let said = OperatorFile::parse(text).unwrap_err().to_string();
            assert!(said.contains(want) && said.lines().count() == 1, "{said}");
        }
        assert!(OperatorFile::parse(include_str!("../../deploy/http2.toml"))
            .unwrap()
            .http2
            .is_some());
        assert!(
            OperatorFile::parse(include_str!("../../examples/operator.toml"))
                .unwrap()
                .plugin
                .is_some()
        );
    }
}
