//! Reads deployment scripts.

use saltdrum_coordinator::FleetConfig;
use saltdrum_deployment::DeploymentSpec;
use std::fs;
use std::path::Path;

/// Reads a file, or says which it was.
pub fn text(path: &Path) -> Result<String, String> {
    fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))
}

/// The deployment that a script describes.
pub fn terms(path: &Path) -> Result<DeploymentSpec, String> {
    Ok(fleet_terms(path)?.0)
}

/// The deployment, and what its script says of its fleet.
pub fn fleet_terms(path: &Path) -> Result<(DeploymentSpec, Option<FleetConfig>), String> {
    let (terms, mut rest) =
        DeploymentSpec::load(&path.to_string_lossy(), &text(path)?).map_err(|e| e.to_string())?;
    let fleet = FleetConfig::extract(&mut rest).map_err(|e| e.to_string())?;
    match rest
        .iter()
        .find(|s| !matches!(s.what, "day" | "traffic" | "trouble" | "trial" | "step"))
    {
        Some(s) => Err(s.fault("does not describe a deployment").to_string()),
        None => Ok((terms, fleet)),
    }
}

/// What the script says of its fleet, which it has to.
pub fn stated_fleet(path: &Path) -> Result<FleetConfig, String> {
    fleet_terms(path)?
        .1
        .ok_or_else(|| format!("{}: no fleet(...) is stated", path.display()))
}
