//! `catkinshed --check`: checks the settings.

use crate::settings::Settings;
use anyhow::{Context, Result};
use std::path::Path;

/// Reads the settings and the keys that they name.
///
/// # Errors
///
/// Returns an error that names the file, the line and the key at fault.
pub fn load(path: &Path) -> Result<Settings> {
    Settings::load(path)
        .with_context(|| format!("the settings in {} cannot be used", path.display()))
}

/// Prints the settings as they are in force, without the keys.
///
/// # Errors
///
/// Returns an error when standard output is closed.
pub fn check(settings: &Settings) -> Result<()> {
    let text = serde_json::to_string_pretty(settings)?;
    println!("{text}");
    Ok(())
}
