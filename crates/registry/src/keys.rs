//! Keys: `ID.SECRET`. What is kept tells whether one is right, and no more.

use crate::names::Name;
use crate::state::{RegistryState, Role};

/// Why a key opens nothing. It does not say which part was wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AccessError {
    /// The key is unknown or wrong.
    #[error("this key opens nothing here")]
    InvalidKey,
    /// There was no login.
    #[error("log in first")]
    NotLoggedIn,
    /// The role is too low.
    #[error("role {has:?} may not do this: {needs:?} is needed")]
    RoleTooLow {
        /// What there is.
        has: Role,
        /// What is needed.
        needs: Role,
    },
}

fn hash(id: &str, secret: &str) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_derive_key("saltdrum registry key, 1");
    hasher
        .update(id.as_bytes())
        .update(b".")
        .update(secret.as_bytes());
    hasher.finalize()
}

/// A key's text, and what is kept of it. The secret is 256 bits of chance: there is nothing to guess a word of.
pub fn generate(id: &Name, chance: [u8; 32]) -> (String, String) {
    let secret: String = chance.iter().map(|b| format!("{b:02x}")).collect();
    let kept = hash(&id.to_string(), &secret).to_hex().to_string();
    (format!("{id}.{secret}"), kept)
}

/// Who comes with this text.
pub fn authenticate(state: &RegistryState, text: &str) -> Result<(Name, Role), AccessError> {
    let (id, secret) = text.rsplit_once('.').ok_or(AccessError::InvalidKey)?;
    let id: Name = id.parse().map_err(|_| AccessError::InvalidKey)?;
    let key = state.keys.get(&id).ok_or(AccessError::InvalidKey)?;
    let kept = blake3::Hash::from_hex(&key.hash).map_err(|_| AccessError::InvalidKey)?;
    // Compared in constant time, as the library's hashes are.
    if kept == hash(&id.to_string(), secret) {
        Ok((id, key.role))
    } else {
        Err(AccessError::InvalidKey)
    }
}

/// Whether a key that once opened the door still does, and may do this.
pub fn authorize(
    state: &RegistryState,
    id: Option<&Name>,
    needs: Role,
) -> Result<Name, AccessError> {
    let id = id.ok_or(AccessError::NotLoggedIn)?;
    let key = state.keys.get(id).ok_or(AccessError::InvalidKey)?;
    if key.role >= needs {
        Ok(id.clone())
    } else {
        Err(AccessError::RoleTooLow {
            has: key.role,
            needs,
        })
    }
}
