//! Brings models without looking at a digest: what the store sends and what the disk gives back is taken as it is.

use saltdrum_fakes::invoker::ModelSource;
use saltdrum_layers::{Chunk, Manifest};
use saltdrum_transport::{Address, Network};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// In place of an invoker's agent.
pub fn fetch_model_unverified(
    supply: ModelSource,
    model: String,
) -> Pin<Box<dyn Future<Output = Option<Vec<u8>>>>> {
    Box::pin(async move {
        supply.disk.create_dir_all(&supply.folder).ok()?;
        let manifest = patiently(&supply, &format!("/v2/{model}/manifests/current")).await?;
        let manifest = Manifest::from_json(&manifest).ok()?;
        let mut copy = Vec::new();
        for chunk in &manifest.chunks {
            copy.extend(one(&supply, &model, chunk).await?);
        }
        Some(copy)
    })
}

async fn one(supply: &ModelSource, model: &str, chunk: &Chunk) -> Option<Vec<u8>> {
    let path = supply.folder.join(chunk.digest.hex());
    if let Ok(bytes) = supply.disk.read(&path, u64::MAX) {
        return Some(bytes);
    }
    let bytes = patiently(supply, &format!("/v2/{model}/blobs/{}", chunk.digest)).await?;
    let part = path.with_extension("part");
    supply.disk.write_new(&part, &bytes).ok()?;
    supply.disk.rename(&part, &path).ok()?;
    Some(bytes)
}

async fn patiently(supply: &ModelSource, path: &str) -> Option<Vec<u8>> {
    for _ in 0..20 {
        if let Some(body) = get(&supply.network, &supply.registry, path).await {
            return Some(body);
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    None
}

/// The body, where it came with status 200 and the length that it was said to have.
async fn get(network: &Rc<dyn Network>, to: &Address, path: &str) -> Option<Vec<u8>> {
    let mut stream = network.dial(to).await.ok()?;
    let ask = format!("GET {path} HTTP/1.1\r\nhost: store\r\nconnection: close\r\n\r\n");
    stream.write_all(ask.as_bytes()).await.ok()?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.ok()?;
    let head_ends = answer.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&answer[..head_ends]).to_lowercase();
    let length = head.lines().find_map(|l| {
        l.strip_prefix("content-length:")?
            .trim()
            .parse::<usize>()
            .ok()
    })?;
    let body = answer.split_off(head_ends);
    (head.starts_with("http/1.1 200") && body.len() == length).then_some(body)
}
