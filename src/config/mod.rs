//! The two files that configure an ingress: the platform's and the operator's.

pub mod operator_file;
pub mod settings;
pub mod settings_description;
