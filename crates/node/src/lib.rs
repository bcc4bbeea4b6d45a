//! Assembles an instance.

pub mod settings;
