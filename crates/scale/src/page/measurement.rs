//! Measured lines as the page reads them, by experiment and quantity.

use super::PageError;
use crate::results::{json_files, read, Slope, SlopeFile};
use std::collections::BTreeMap;
use std::path::Path;

/// The folder of what was measured before the last mechanism was built. Its experiments' names begin with it.
const BEFORE: &str = "before";

/// All measured lines.
#[derive(Clone, Debug, Default)]
pub struct Measurements {
    found: BTreeMap<(String, String), Slope>,
}

impl Measurements {
    /// Reads every `.json` file of a folder, and of the folder `before` in it if there is one.
    ///
    /// # Errors
    /// A file cannot be read or is out of form, or two hold the same measurement.
    pub fn read(folder: &Path) -> Result<Measurements, PageError> {
        let mut measurements = Measurements::default();
        measurements.read_folder(folder, "")?;
        let before = folder.join(BEFORE);
        if before.is_dir() {
            measurements.read_folder(&before, &format!("{BEFORE}/"))?;
        }
        Ok(measurements)
    }

    fn read_folder(&mut self, folder: &Path, prefix: &str) -> Result<(), PageError> {
        let files = json_files(folder).map_err(|source| PageError::File {
            path: folder.into(),
            source,
        })?;
        for path in files {
            let file: SlopeFile = read(&path).map_err(PageError::Measurements)?;
            for mut slope in file.slopes {
                slope.experiment.insert_str(0, prefix);
                self.add(slope)?;
            }
        }
        Ok(())
    }

    fn add(&mut self, slope: Slope) -> Result<(), PageError> {
        let name = (slope.experiment.clone(), slope.quantity.clone());
        match self.found.insert(name, slope) {
            Some(old) => Err(PageError::Doubled {
                experiment: old.experiment,
                quantity: old.quantity,
            }),
            None => Ok(()),
        }
    }

    /// One of them.
    pub fn get(&self, experiment: &str, quantity: &str) -> Option<&Slope> {
        self.found
            .get(&(experiment.to_string(), quantity.to_string()))
    }

    /// One of them, if it is of the program as it stands.
    pub fn current(&self, experiment: &str, quantity: &str) -> Option<&Slope> {
        self.get(experiment, quantity)
            .filter(|slope| !slope.experiment.starts_with(BEFORE))
    }
}
