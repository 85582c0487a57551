//! `saltdrum node`: one real controller on the platform's sockets. The system's clock and environment are read here.

use saltdrum_controller::by_design;
use saltdrum_link::{Clock, Sockets};
use saltdrum_platform::{Life, serve};
use std::env::var;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

pub fn run() -> Result<u8, String> {
    let config = var("RELAY_CONFIG").map_err(|e| format!("RELAY_CONFIG: {e}: a file is expected"))?;
    let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
    let (listen, name) = (var("RELAY_LISTEN").ok(), var("RELAY_NAME").ok());
    let life = Life { config: config.into(), listen, name, unix_ms };
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    let served = serve(life, Rc::new(Sockets), Clock::start(), by_design);
    tokio::task::LocalSet::new().block_on(&runtime, served).map_err(|e| e.to_string())?;
    Ok(0)
}
