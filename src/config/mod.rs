//! The two files that configure an ingress: `settings` reads the platform's, `operator_file` the operator's;
//! `settings_description` says in words what the platform's settings mean.

pub mod operator_file;
pub mod settings;
pub mod settings_description;
