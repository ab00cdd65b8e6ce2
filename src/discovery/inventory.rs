//! The operator's inventory in the ingress: reading its file or folder, and what changes in the endpoint registry by it.
//! What a file means and whether it is whole is judged by `driftgap_inventory`. It must never change the list for a
//! file that is wrong anywhere or has to be confirmed first, nor drop a host that is no longer named without
//! letting it drain.

use crate::decision::driver::EndpointId;
use crate::decision::{EndpointEntry, EndpointState, ALL_ENDPOINTS};
use crate::discovery::registry::{Endpoint, EndpointProtocol, EndpointRegistry};
use driftgap_inventory::{
    read, summary, suspicious, Fault, File, Host, Protocol, Schema, Shares, State, Weight,
};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

/// Most files of a folder, and deepest nesting of folders.
const MAX_FILES: usize = 1000;
const MAX_DEPTH: usize = 4;

/// The inventory's settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InventorySettings {
    /// CSV (`.csv`), else YAML or JSON; or a folder of such files.
    pub file: PathBuf,
    /// Names of columns or variables, and the fields that they are.
    #[serde(default)]
    pub columns: BTreeMap<String, String>,
    /// Share of the last list that a new one may lack, or take out of service, without being confirmed.
    #[serde(default = "share")]
    pub shorter: f64,
    /// See `shorter`.
    #[serde(default = "share")]
    pub taken_out: f64,
    /// A list that must be confirmed holds once it is read again, unchanged, after so long, ms.
    #[serde(default = "confirm_after")]
    pub confirm_after_ms: f64,
}

fn share() -> f64 {
    0.3
}

fn confirm_after() -> f64 {
    5000.0
}

/// An inventory that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum InventoryError {
    /// It cannot be read.
    #[error("{0}")]
    Read(#[from] std::io::Error),
    /// It was written to while it was read.
    #[error("it changed while it was read: it may be half-written")]
    Changing,
    /// A folder with too much in it.
    #[error("the folder holds more than {MAX_FILES} files, or folders more than {MAX_DEPTH} deep")]
    Folder,
    /// It is wrong; all that is, the worst first.
    #[error("{}", notified(.0))]
    Faults(Vec<Fault>),
    /// It must be confirmed.
    #[error("{0}: held back until it is read again unchanged")]
    Held(String),
}

/// The first fault in a line, and how many there are besides.
fn notified(faults: &[Fault]) -> String {
    let errors: Vec<&Fault> = faults
        .iter()
        .filter(|fault| fault.weight == Weight::Error)
        .collect();
    match errors.as_slice() {
        [] => "no fault".into(),
        [one] => one.to_string(),
        [first, more @ ..] => format!("{first} (and {} more)", more.len()),
    }
}

impl InventoryError {
    /// Each fault as a line, those that repeat as one.
    pub fn lines(&self) -> Vec<String> {
        match self {
            InventoryError::Faults(faults) => summary(faults),
            other => vec![other.to_string()],
        }
    }
}

/// The inventory and what it named last.
#[derive(Debug)]
pub struct Inventory {
    settings: InventorySettings,
    path: PathBuf,
    hosts: Vec<Host>,
    named: BTreeSet<EndpointId>,
    /// What the last reading made drain, and what it found drained.
    draining: BTreeSet<EndpointId>,
    dropped: BTreeSet<EndpointId>,
    /// A list that must be confirmed, and when it was read first, ms.
    held: Option<(Vec<Host>, f64)>,
    /// The files that the list in force was read from.
    accepted: Vec<File>,
}

impl Inventory {
    /// An inventory by its settings; a relative path counts from `folder`. Nothing is read yet.
    pub fn new(settings: InventorySettings, folder: &Path) -> Inventory {
        let path = folder.join(&settings.file);
        let (hosts, named, draining, dropped) = Default::default();
        let accepted = Vec::new();
        Inventory {
            settings,
            path,
            hosts,
            named,
            draining,
            dropped,
            held: None,
            accepted,
        }
    }

    /// The file or the folder.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Whether an endpoint was named by the reading before the last and by none since.
    pub fn dropped(&self, id: EndpointId) -> bool {
        self.dropped.contains(&id)
    }

    /// Reads the inventory into the table at `now`, ms: what changes by it, and warnings. Hosts that are no longer
    /// named drain.
    ///
    /// # Errors
    /// It is wrong, or must be confirmed; the table is as it was.
    pub fn load(
        &mut self,
        table: &mut EndpointRegistry,
        now: f64,
    ) -> Result<(Vec<EndpointEntry>, Vec<Fault>), InventoryError> {
        self.take(files(&self.path)?, table, now)
    }

    /// The files that the list in force was read from, as one text that [`Inventory::restore`] reads.
    pub fn accepted(&self) -> Vec<u8> {
        let files: Vec<(&str, &[u8])> = self
            .accepted
            .iter()
            .map(|f| (&*f.path, &*f.bytes))
            .collect();
        postcard::to_stdvec(&files).unwrap_or_default()
    }

    /// The same as [`Inventory::load`] with what another ingress has accepted.
    ///
    /// # Errors
    /// It is wrong here, or no such text.
    pub fn restore(
        &mut self,
        accepted: &[u8],
        table: &mut EndpointRegistry,
        now: f64,
    ) -> Result<(Vec<EndpointEntry>, Vec<Fault>), InventoryError> {
        let files: Vec<(String, Vec<u8>)> = postcard::from_bytes(accepted)
            .map_err(|e| std::io::Error::new(std::io::ErrorKind::InvalidData, e.to_string()))?;
        let files = files
            .into_iter()
            .map(|(path, bytes)| File { path, bytes })
            .collect();
        self.take(files, table, now)
    }

    fn take(
        &mut self,
        files: Vec<File>,
        table: &mut EndpointRegistry,
        now: f64,
    ) -> Result<(Vec<EndpointEntry>, Vec<Fault>), InventoryError> {
        let schema = Schema {
            zones: table.zones().to_vec(),
            columns: self.settings.columns.clone(),
        };
        let reading = read(&files, &schema);
        if !reading.holds() {
            return Err(InventoryError::Faults(reading.faults));
        }
        self.confirm(&reading.hosts, now)?;
        let mut entries = Vec::with_capacity(reading.hosts.len());
        for host in &reading.hosts {
            let id = table.number(&host.name);
            let zone = host.zone.as_ref().map_or(0, |zone| table.zone(zone));
            let protocol = match host.protocol {
                Protocol::Resp => EndpointProtocol::Resp,
                Protocol::Http2 => EndpointProtocol::Http2,
            };
            let state = match host.state {
                State::Active => EndpointState::Ready,
                State::Draining(_) => EndpointState::Draining,
                State::Out => EndpointState::Gone,
            };
            let labels = host
                .labels
                .iter()
                .map(|(name, value)| (name.clone(), value.clone()))
                .collect();
            table.place(
                id,
                Endpoint {
                    name: host.name.clone(),
                    addr: host.address,
                    protocol,
                    labels,
                },
            );
            let (cell, size, started) = (host.cell, host.weight, host.started);
            entries.push(EndpointEntry {
                id,
                zone,
                cell,
                state,
                weight: size,
                started,
                pools: ALL_ENDPOINTS,
            });
        }
        let named: BTreeSet<EndpointId> = entries.iter().map(|e| e.id).collect();
        self.dropped = self.draining.difference(&named).copied().collect();
        self.draining = self.named.difference(&named).copied().collect();
        let drained = self.draining.iter().map(|id| EndpointEntry {
            id: *id,
            zone: 0,
            cell: 0,
            state: EndpointState::Draining,
            weight: 1.0,
            started: 0.0,
            pools: ALL_ENDPOINTS,
        });
        entries.extend(drained);
        (self.named, self.hosts, self.accepted) = (named, reading.hosts, files);
        table.keep_inventory(&entries);
        Ok((entries, reading.faults))
    }

    /// Guards the service against a list that is right in form and wrong in substance: one that takes out much at
    /// once holds only when it is read again, unchanged, some time later.
    fn confirm(&mut self, hosts: &[Host], now: f64) -> Result<(), InventoryError> {
        let shares = Shares {
            shorter: self.settings.shorter,
            taken_out: self.settings.taken_out,
        };
        let held = self.held.take();
        let Some(why) = suspicious(&self.hosts, hosts, shares) else {
            return Ok(());
        };
        let since = match held {
            Some((list, since)) if list == hosts => since,
            _ => now,
        };
        if now > since && now - since >= self.settings.confirm_after_ms {
            return Ok(());
        }
        self.held = Some((hosts.to_vec(), since));
        Err(InventoryError::Held(why))
    }
}

/// The files of an inventory: one, or those of a folder, without what editors and tools leave beside them.
fn files(path: &Path) -> Result<Vec<File>, InventoryError> {
    let mut found = Vec::new();
    if path.is_dir() {
        gather(path, path, 0, &mut found)?;
    } else {
        let name = path
            .file_name()
            .map_or(String::new(), |name| name.to_string_lossy().to_string());
        found.push(file(path, name)?);
    }
    Ok(found)
}

fn gather(
    root: &Path,
    folder: &Path,
    depth: usize,
    found: &mut Vec<File>,
) -> Result<(), InventoryError> {
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        let name = path
            .file_name()
            .map_or(String::new(), |name| name.to_string_lossy().to_string());
        if name.starts_with('.')
            || name.ends_with(['~', '#'])
            || name.ends_with(".swp")
            || name.ends_with(".tmp")
        {
            continue;
        }
        if found.len() >= MAX_FILES || depth > MAX_DEPTH {
            return Err(InventoryError::Folder);
        }
        if path.is_dir() {
            gather(root, &path, depth + 1, found)?;
        } else {
            let name = path
                .strip_prefix(root)
                .unwrap_or(&path)
                .to_string_lossy()
                .to_string();
            found.push(file(&path, name)?);
        }
    }
    Ok(())
}

/// A file that did not change while it was read.
fn file(path: &Path, name: String) -> Result<File, InventoryError> {
    let state = || std::fs::metadata(path).and_then(|data| Ok((data.len(), data.modified()?)));
    let before = state()?;
    // Guards memory: what is too long is refused by its length alone.
    if before.0 > driftgap_inventory::MAX_FILE as u64 {
        let place = driftgap_inventory::Place {
            file: name.into(),
            ..Default::default()
        };
        let problem = format!(
            "has {} bytes, {} are the most",
            before.0,
            driftgap_inventory::MAX_FILE
        );
        let (field, value, help) = Default::default();
        return Err(InventoryError::Faults(vec![Fault {
            weight: Weight::Error,
            place,
            field,
            value,
            problem,
            help,
        }]));
    }
    let bytes = std::fs::read(path)?;
    if state()? != before || bytes.len() as u64 != before.0 {
        return Err(InventoryError::Changing);
    }
    Ok(File { path: name, bytes })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn inventory(name: &str) -> (Inventory, PathBuf) {
        let path = std::env::temp_dir().join(format!(
            "driftgap-inventory-{}-{name}.csv",
            std::process::id()
        ));
        let settings = InventorySettings {
            file: path.clone(),
            columns: BTreeMap::new(),
            shorter: 0.3,
            taken_out: 0.3,
            confirm_after_ms: 5000.0,
        };
        (Inventory::new(settings, Path::new("")), path)
    }

    fn list(hosts: std::ops::Range<u8>, state: &str) -> String {
        let rows = hosts.map(|i| format!("n{i},10.0.0.{i}:1,{state}\n"));
        format!("name,address,state\n{}", rows.collect::<String>())
    }

    #[test]
    fn a_suspicious_list_holds_only_when_it_is_read_again_unchanged_after_a_time() {
        let (mut inventory, path) = inventory("held");
        let mut table = EndpointRegistry::new(vec![]);
        let mut load = |text: &str, now: f64| {
            std::fs::write(&path, text).unwrap();
            inventory
                .load(&mut table, now)
                .map(|(entries, _)| entries.len())
        };
        assert_eq!(load(&list(0..20, "active"), 0.0).unwrap(), 20);
        let half = list(0..10, "active");
        assert!(matches!(load(&half, 1000.0), Err(InventoryError::Held(_))));
        assert!(matches!(load(&half, 5000.0), Err(InventoryError::Held(_))));
        // Another list in between: the time begins anew.
        assert_eq!(load(&list(0..19, "active"), 5500.0).unwrap(), 20);
        assert!(matches!(load(&half, 6500.0), Err(InventoryError::Held(_))));
        assert_eq!(
            load(&half, 11_500.0).unwrap(),
            19,
            "ten of them and nine that drain"
        );
        std::fs::remove_file(&path).unwrap();
    }

    #[test]
    fn states_reach_the_table_and_a_wrong_file_changes_nothing() {
        let (mut inventory, path) = inventory("states");
        let mut table = EndpointRegistry::new(vec!["z".into()]);
        std::fs::write(
            &path,
            "name,address,state,started\na,10.0.0.1:1,active,7\nb,10.0.0.2:1,draining,\nc,10.0.0.3:1,out,\n",
        )
        .unwrap();
        let (entries, _) = inventory.load(&mut table, 0.0).unwrap();
        let states: Vec<(EndpointState, f64)> =
            entries.iter().map(|e| (e.state, e.started)).collect();
        assert_eq!(
            states,
            [
                (EndpointState::Ready, 7.0),
                (EndpointState::Draining, 0.0),
                (EndpointState::Gone, 0.0)
            ]
        );
        std::fs::write(&path, "name,address\na,10.0.0.1:1\nb,here\nc,there\n").unwrap();
        let error = inventory.load(&mut table, 0.0).unwrap_err();
        assert!(
            error.to_string().contains("row 3: address")
                && error.to_string().ends_with("(and 1 more)"),
            "{error}"
        );
        assert_eq!(error.lines().len(), 1, "{:?}", error.lines());
        std::fs::remove_file(&path).unwrap();
    }
}
