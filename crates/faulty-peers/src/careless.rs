//! Fetches models without verifying digests: accepts whatever the store sends and the disk returns.

use saltdrum_fakes::invoker::ModelSource;
use saltdrum_layers::{Chunk, Manifest};
use saltdrum_transport::{Address, Network};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Fetches a model in place of an invoker's agent.
pub fn fetch_model_unverified(
    source: ModelSource,
    model: String,
) -> Pin<Box<dyn Future<Output = Option<Vec<u8>>>>> {
    Box::pin(async move {
        source.disk.create_dir_all(&source.folder).ok()?;
        let manifest = get_with_retries(&source, &format!("/v2/{model}/manifests/current")).await?;
        let manifest = Manifest::from_json(&manifest).ok()?;
        let mut copy = Vec::new();
        for chunk in &manifest.chunks {
            copy.extend(read_or_fetch_chunk(&source, &model, chunk).await?);
        }
        Some(copy)
    })
}

/// Reads a chunk from the folder, or fetches it and writes it there.
async fn read_or_fetch_chunk(source: &ModelSource, model: &str, chunk: &Chunk) -> Option<Vec<u8>> {
    let path = source.folder.join(chunk.digest.hex());
    if let Ok(bytes) = source.disk.read(&path, u64::MAX) {
        return Some(bytes);
    }
    let bytes = get_with_retries(source, &format!("/v2/{model}/blobs/{}", chunk.digest)).await?;
    let temporary = path.with_extension("part");
    source.disk.write_new(&temporary, &bytes).ok()?;
    source.disk.rename(&temporary, &path).ok()?;
    Some(bytes)
}

/// Repeats a failed request up to 20 times.
async fn get_with_retries(source: &ModelSource, path: &str) -> Option<Vec<u8>> {
    for _ in 0..20 {
        if let Some(body) = get(&source.network, &source.registry, path).await {
            return Some(body);
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    None
}

/// The body of a response with status 200 whose length matches `content-length`.
async fn get(network: &Rc<dyn Network>, address: &Address, path: &str) -> Option<Vec<u8>> {
    let mut stream = network.dial(address).await.ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nhost: store\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await.ok()?;
    let head_ends = response
        .windows(4)
        .position(|window| window == b"\r\n\r\n")?
        + 4;
    let head = String::from_utf8_lossy(&response[..head_ends]).to_lowercase();
    let length = head.lines().find_map(|line| {
        line.strip_prefix("content-length:")?
            .trim()
            .parse::<usize>()
            .ok()
    })?;
    let body = response.split_off(head_ends);
    (head.starts_with("http/1.1 200") && body.len() == length).then_some(body)
}
