//! Reading of request bodies.

use super::exchange::Reply;
use super::ingress::{NoRoom, Permit};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::error::Error;
use std::io;
use std::time::Duration;

/// Time limit for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);
/// `Retry-After` of a request for which there is no room.
const NO_ROOM_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Size of the first buffer of a body whose length was not announced, in bytes.
const MIN_BUFFER_BYTES: usize = 1024;
/// Size up to which a body is charged with its connection, in bytes.
const FREE_BYTES: usize = 4 * 1024;

/// Reads a request body. A body whose declared length is over the limit is rejected before it is
/// read. What is read is charged to the permit.
///
/// # Errors
///
/// Returns the response to send if the body can't be read or is not valid.
pub async fn read_body(body: Incoming, limit: usize, permit: &Permit) -> Result<String, Reply> {
    if body.is_end_stream() {
        return Ok(String::new());
    }
    let announced = body.size_hint();
    if announced.lower() > limit as u64 {
        return Err(too_large(limit));
    }
    let max = announced.exact().map_or(limit, |length| {
        usize::try_from(length).unwrap_or(limit).min(limit)
    });
    permit.begin_body(max);
    let read = tokio::time::timeout(BODY_TIMEOUT, collect(body, max, limit, permit));
    let bytes = read
        .await
        .map_err(|e| Reply::text(408, e.to_string()))
        .flatten()?;
    String::from_utf8(bytes).map_err(|e| Reply::text(400, e.to_string()))
}

/// Copies a body of at most `max` bytes to one buffer: its parts may be as small as a byte, and each
/// holds the whole buffer that it was read into.
async fn collect(
    mut body: Incoming,
    max: usize,
    limit: usize,
    permit: &Permit,
) -> Result<Vec<u8>, Reply> {
    let mut buf = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| unreadable(&e))?;
        // Trailers are ignored.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let len = buf.len() + data.len();
        if len > max {
            return Err(too_large(limit));
        }
        if len > buf.capacity() {
            grow(&mut buf, len, max, permit).await.map_err(no_room)?;
        }
        buf.extend_from_slice(&data);
    }
    Ok(buf)
}

/// Makes room for `len` bytes, with what the body may still need up to twice as many, after charging
/// them.
async fn grow(buf: &mut Vec<u8>, len: usize, max: usize, permit: &Permit) -> Result<(), NoRoom> {
    let capacity = (2 * buf.capacity()).max(len).max(MIN_BUFFER_BYTES).min(max);
    let charged = buf.capacity().saturating_sub(FREE_BYTES);
    let bytes = capacity.saturating_sub(FREE_BYTES).saturating_sub(charged);
    if bytes > 0 {
        permit.charge(bytes).await?;
    }
    buf.reserve_exact(capacity - buf.len());
    Ok(())
}

fn too_large(limit: usize) -> Reply {
    Reply::text(413, format!("at most {limit} bytes"))
}

/// Returns the response to a body whose reading failed, perhaps for lack of room for its buffers.
fn unreadable(e: &hyper::Error) -> Reply {
    let io = e.source().and_then(|e| e.downcast_ref::<io::Error>());
    let cause = io.and_then(io::Error::get_ref);
    match cause.and_then(|e| e.downcast_ref::<NoRoom>()) {
        Some(&e) => no_room(e),
        None => Reply::text(400, e.to_string()),
    }
}

fn no_room(e: NoRoom) -> Reply {
    let mut reply = Reply::text(503, e.to_string());
    reply.retry_after = Some(NO_ROOM_RETRY_AFTER);
    reply
}
