//! The fitted lines that the page uses, by experiment and quantity.

use super::PageError;
use crate::results::{json_files, read, Slope, SlopeFile};
use std::collections::BTreeMap;
use std::path::Path;

/// Folder of the measurements made before the last mechanism was built, and prefix of their
/// experiments' names.
const BEFORE: &str = "before";

/// All fitted lines, by experiment and quantity.
#[derive(Clone, Debug, Default)]
pub struct Measurements {
    lines: BTreeMap<(String, String), Slope>,
}

impl Measurements {
    /// Reads every `.json` file of a folder and of its subfolder `before`, if there is one.
    ///
    /// # Errors
    /// A file cannot be read or has another format, or two files contain the same measurement.
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
        match self.lines.insert(name, slope) {
            Some(old) => Err(PageError::DuplicateMeasurement {
                experiment: old.experiment,
                quantity: old.quantity,
            }),
            None => Ok(()),
        }
    }

    /// Returns the line of a quantity.
    pub fn get(&self, experiment: &str, quantity: &str) -> Option<&Slope> {
        self.lines
            .get(&(experiment.to_string(), quantity.to_string()))
    }

    /// Returns the line of a quantity if its measurements come from the current program.
    pub fn current(&self, experiment: &str, quantity: &str) -> Option<&Slope> {
        self.get(experiment, quantity)
            .filter(|slope| !slope.experiment.starts_with(BEFORE))
    }
}
