//! Answers as streams of server-sent events.

use std::convert::Infallible;

use axum::response::IntoResponse;
use axum::response::Response;
use axum::response::sse::Event;
use axum::response::sse::Sse;
use futures::stream;
use serde::Serialize;
use serde_json::json;
use tokio::sync::mpsc::UnboundedReceiver;

use hemlockwind_core::engine::RequestId;
use hemlockwind_protocol::completions::Api;
use hemlockwind_protocol::completions::Completion;
use hemlockwind_protocol::completions::Usage;
use hemlockwind_stream::Finish;

use crate::driver::Progress;
use crate::problem::Failure;

/// The last event of a stream in the OpenAI API, which common clients expect.
const DONE: &str = "[DONE]";

/// `Answer` holds the fields that all parts of one answer share.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The interface that the caller used.
    pub api: Api,
    /// The request's id.
    pub id: RequestId,
    /// The pipeline's name.
    pub pipeline: String,
    /// When the answer began, in seconds since the Unix epoch.
    pub created: u64,
}

impl Answer {
    /// Returns the answer with `text`, or its next part. At the end of the answer `finished`
    /// is whether the model ended it (true) or the limit of tokens did (false).
    pub fn completion(
        &self,
        text: String,
        is_event: bool,
        finished: Option<bool>,
        tokens: Option<u32>,
    ) -> Completion {
        let reason = finished.map(|by_model| if by_model { "stop" } else { "length" });
        Completion {
            id: format!("cmpl-{}", self.id.0),
            object: self.api.object(is_event),
            created: self.created,
            model: self.pipeline.clone(),
            choices: [self.api.choice(text, is_event, reason)],
            usage: tokens.map(|completion_tokens| Usage { completion_tokens }),
        }
    }
}

/// `EventStream` holds the state of a stream of events to a caller.
struct EventStream {
    answer: Answer,
    next: Option<Progress>,
    progress: UnboundedReceiver<Progress>,
    tokens: u32,
    ended: bool,
    last: Option<Event>,
}

/// Returns the streamed answer. It ends without `[DONE]` if the stream fails.
pub fn stream(answer: Answer, first: Progress, progress: UnboundedReceiver<Progress>) -> Response {
    let state = EventStream {
        answer,
        next: Some(first),
        progress,
        tokens: 0,
        ended: false,
        last: None,
    };
    Sse::new(stream::unfold(state, EventStream::next)).into_response()
}

impl EventStream {
    /// Returns the next event and the state after it.
    async fn next(mut self) -> Option<(Result<Event, Infallible>, Self)> {
        if let Some(last) = self.last.take() {
            return Some((Ok(last), self));
        }
        let progress = match self.next.take() {
            Some(progress) => progress,
            None => self.progress.recv().await?,
        };
        let event = match progress {
            Progress::Token(token) => {
                self.tokens += 1;
                self.ended = token.end;
                data(&self.answer.completion(token.text, true, None, None))
            }
            Progress::End(Finish::Complete { .. }) => {
                self.last = Some(Event::default().data(DONE));
                let finished = Some(self.ended);
                let tokens = Some(self.tokens);
                data(
                    &self
                        .answer
                        .completion(String::new(), true, finished, tokens),
                )
            }
            Progress::End(Finish::Failed(error, ran)) => {
                let failure = Failure::new(error, ran, self.answer.id.0);
                data(&json!({"error": failure.problem()}))
            }
            Progress::End(Finish::Cancelled) => return None,
        };
        Some((Ok(event), self))
    }
}

/// Returns an event with `value` as JSON.
fn data(value: &impl Serialize) -> Event {
    let text = serde_json::to_string(value);
    Event::default().data(text.unwrap_or_default())
}
