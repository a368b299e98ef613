//! `catkinshed --check`: validates the settings and prints them.

use crate::settings::{self, Settings};
use anyhow::{Context, Result};
use serde::Serialize;
use std::path::Path;

/// Settings of one role of the binary.
pub trait RoleSettings: Serialize + Sized {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file and the invalid key.
    fn read(path: &Path) -> Result<Self, settings::Error>;
}

impl RoleSettings for Settings {
    fn read(path: &Path) -> Result<Self, settings::Error> {
        Self::load(path)
    }
}

impl RoleSettings for gateway::settings::Settings {
    fn read(path: &Path) -> Result<Self, settings::Error> {
        let settings: Self = settings::read(path)?;
        let invalid = settings.find_invalid();
        settings::ensure_valid(path, invalid)?;
        Ok(settings)
    }
}

impl RoleSettings for gateway::settings::Storage {
    fn read(path: &Path) -> Result<Self, settings::Error> {
        settings::read(path)
    }
}

/// Reads and validates the settings of a role.
///
/// # Errors
///
/// Returns an error that names the file and, where known, the line and the invalid key.
pub fn load<T: RoleSettings>(path: &Path) -> Result<T> {
    T::read(path).with_context(|| format!("the settings in {} cannot be used", path.display()))
}

/// Prints the settings as JSON, with defaults filled in and without the secret keys.
///
/// # Errors
///
/// Returns an error when the settings cannot be serialized.
pub fn print(settings: &impl Serialize) -> Result<()> {
    let text = serde_json::to_string_pretty(settings)?;
    println!("{text}");
    Ok(())
}
