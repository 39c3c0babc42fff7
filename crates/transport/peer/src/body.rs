//! Reads and writes whole bodies of h2 streams.

use bytes::Bytes;
use bytes::BytesMut;
use h2::RecvStream;
use h2::SendStream;

use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_protocol::peer::MAX_FRAME_BYTES;

use crate::compression;

/// Reads a whole message of at most `MAX_FRAME_BYTES` bytes, before and after its decompression.
pub async fn read(mut body: RecvStream, is_compressed: bool) -> Result<Bytes> {
    let mut buf = BytesMut::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.map_err(|e| Error::peer_unreachable(e.to_string()))?;
        if buf.len() + chunk.len() > MAX_FRAME_BYTES {
            return Err(Error::peer_frame("the message exceeds the size limit"));
        }
        // Fails only if the stream has ended; the flow-control window doesn't matter then.
        let _ = body.flow_control().release_capacity(chunk.len());
        buf.extend_from_slice(&chunk);
    }
    match is_compressed {
        true => compression::decompress(&buf),
        false => Ok(buf.freeze()),
    }
}

/// Writes a whole body as the receiver's flow-control window allows.
pub async fn write(stream: &mut SendStream<Bytes>, mut data: Bytes) -> Result<()> {
    let error = |e: h2::Error| Error::peer_unreachable(e.to_string());
    while !data.is_empty() {
        stream.reserve_capacity(data.len());
        let capacity = std::future::poll_fn(|cx| stream.poll_capacity(cx)).await;
        let capacity = capacity.ok_or_else(|| Error::peer_unreachable("the stream was closed"))?;
        let capacity = capacity.map_err(error)?.min(data.len());
        stream
            .send_data(data.split_to(capacity), false)
            .map_err(error)?;
    }
    stream.send_data(Bytes::new(), true).map_err(error)
}
