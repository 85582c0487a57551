//! Reads deployment scripts.

use saltdrum_coordinator::FleetConfig;
use saltdrum_deployment::DeploymentSpec;
use std::fs;
use std::path::Path;

/// Reads a script; an error names its path.
pub fn read_script(path: &Path) -> Result<String, String> {
    fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))
}

/// Loads the deployment that a script describes.
pub fn load_terms(path: &Path) -> Result<DeploymentSpec, String> {
    Ok(load_terms_and_fleet(path)?.0)
}

/// Loads a deployment, and the settings of its fleet if the script has any.
pub fn load_terms_and_fleet(path: &Path) -> Result<(DeploymentSpec, Option<FleetConfig>), String> {
    let (terms, mut statements) =
        DeploymentSpec::load(&path.to_string_lossy(), &read_script(path)?)
            .map_err(|e| e.to_string())?;
    let fleet = FleetConfig::extract(&mut statements).map_err(|e| e.to_string())?;
    match statements
        .iter()
        .find(|s| !matches!(s.what, "day" | "traffic" | "trouble" | "trial" | "step"))
    {
        Some(statement) => Err(statement
            .fault("does not describe a deployment")
            .to_string()),
        None => Ok((terms, fleet)),
    }
}

/// Loads the settings of a fleet; an error if the script has none.
pub fn load_fleet(path: &Path) -> Result<FleetConfig, String> {
    load_terms_and_fleet(path)?
        .1
        .ok_or_else(|| format!("{}: no fleet(...) is stated", path.display()))
}
