//! `catkinshed --check`: checks the settings.

use crate::settings::{self, Settings};
use anyhow::{Context, Result};
use serde::Serialize;
use std::path::Path;

/// Settings of a role.
pub trait RoleSettings: Serialize + Sized {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file and the key at fault.
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
        let found = settings.find_invalid();
        settings::ensure_valid(path, found)?;
        Ok(settings)
    }
}

impl RoleSettings for gateway::settings::Storage {
    fn read(path: &Path) -> Result<Self, settings::Error> {
        settings::read(path)
    }
}

/// Reads the settings of a role.
///
/// # Errors
///
/// Returns an error that names the file, the line and the key at fault.
pub fn load<T: RoleSettings>(path: &Path) -> Result<T> {
    T::read(path).with_context(|| format!("the settings in {} cannot be used", path.display()))
}

/// Prints the settings as they are in force, without the keys.
///
/// # Errors
///
/// Returns an error when standard output is closed.
pub fn print(settings: &impl Serialize) -> Result<()> {
    let text = serde_json::to_string_pretty(settings)?;
    println!("{text}");
    Ok(())
}
