//! Whole bodies of h2 streams.

use bytes::Bytes;
use bytes::BytesMut;
use h2::RecvStream;
use h2::SendStream;

use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_protocol::peer::FRAME_LIMIT;

/// Reads a body up to the limit of a message.
pub async fn read(mut body: RecvStream) -> Result<Bytes> {
    let mut buf = BytesMut::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.map_err(|e| Error::peer_unreachable(e.to_string()))?;
        if buf.len() + chunk.len() > FRAME_LIMIT {
            return Err(Error::peer_frame("a message over the limit"));
        }
        // Nothing is lost if the window can't be given back: the stream has ended.
        let _ = body.flow_control().release_capacity(chunk.len());
        buf.extend_from_slice(&chunk);
    }
    Ok(buf.freeze())
}

/// Writes a body as the other side makes room for it.
pub async fn write(stream: &mut SendStream<Bytes>, mut data: Bytes) -> Result<()> {
    let error = |e: h2::Error| Error::peer_unreachable(e.to_string());
    while !data.is_empty() {
        stream.reserve_capacity(data.len());
        let room = std::future::poll_fn(|cx| stream.poll_capacity(cx)).await;
        let room = room.ok_or_else(|| Error::peer_unreachable("the stream was closed"))?;
        let room = room.map_err(error)?.min(data.len());
        stream
            .send_data(data.split_to(room), false)
            .map_err(error)?;
    }
    stream.send_data(Bytes::new(), true).map_err(error)
}
