//! Configuration of an ingress: `settings` parses the platform's file, `operator_file` the
//! operator's, and `settings_description` explains the platform's settings in words. `regular_file`
//! guards the reading of files.

pub mod operator_file;
pub mod regular_file;
pub mod settings;
pub mod settings_description;
