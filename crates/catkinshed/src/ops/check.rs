//! `catkinshed --check`: checks the settings.

use crate::settings::{self, Settings};
use anyhow::{Context, Result};
use serde::Serialize;
use std::path::Path;

/// Settings of a role.
pub trait Checked: Serialize + Sized {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file and the key at fault.
    fn read(path: &Path) -> Result<Self, settings::Error>;
}

impl Checked for Settings {
    fn read(path: &Path) -> Result<Self, settings::Error> {
        Self::load(path)
    }
}

impl Checked for gateway::settings::Settings {
    fn read(path: &Path) -> Result<Self, settings::Error> {
        let settings: Self = settings::read(path)?;
        let found = settings.find_invalid();
        settings::ensure_valid(path, found)?;
        Ok(settings)
    }
}

impl Checked for gateway::settings::Storage {
    fn read(path: &Path) -> Result<Self, settings::Error> {
        settings::read(path)
    }
}

/// Reads the settings of a role.
///
/// # Errors
///
/// Returns an error that names the file, the line and the key at fault.
pub fn load<T: Checked>(path: &Path) -> Result<T> {
    T::read(path).with_context(|| format!("the settings in {} cannot be used", path.display()))
}

/// Prints the settings as they are in force, without the keys.
///
/// # Errors
///
/// Returns an error when standard output is closed.
pub fn check(settings: &impl Serialize) -> Result<()> {
    let text = serde_json::to_string_pretty(settings)?;
    println!("{text}");
    Ok(())
}
