//! The streams of an engine and their KV caches.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use hemlockwind_core::edges::KvExport;
use hemlockwind_core::engine::Incarnation;
use hemlockwind_core::engine::Input;
use hemlockwind_core::engine::LoadReport;
use hemlockwind_core::engine::Output;
use hemlockwind_core::engine::Refusal;
use hemlockwind_core::engine::RequestId;
use hemlockwind_core::engine::Step;
use hemlockwind_core::engine::StepId;
use hemlockwind_core::layers::LayerRange;
use hemlockwind_protocol::engine;

use super::Options;
use super::StreamState;
use crate::model;
use crate::model::Layers;

/// Maximum number of cancelled requests whose incarnations are kept, so that a late step
/// doesn't reopen one.
const MAX_CANCELLED_REQUESTS: usize = 4_096;

/// `StepRuns` counts the runs of a step.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StepRuns {
    /// The step.
    pub id: engine::StepId,
    /// How often it ran.
    pub count: u64,
}

/// `Streams` holds the streams of one engine and decides which steps may run.
#[derive(Debug)]
pub struct Streams {
    layers: LayerRange,
    model_layers: u16,
    limit: usize,
    idle_timeout: Duration,
    leaving: bool,
    streams: HashMap<RequestId, Stream>,
    cancelled: VecDeque<(RequestId, Incarnation)>,
    records_runs: bool,
    runs: HashMap<StepId, u64>,
}

/// `Stream` is one request on this engine.
#[derive(Debug)]
struct Stream {
    incarnation: Incarnation,
    kv: Option<Kv>,
    used_at: Instant,
}

/// `Kv` is the KV cache of a stream.
#[derive(Debug)]
struct Kv {
    layers: Layers,
    /// The index of the token that the next decode step must generate.
    next: u32,
    /// The last step that ran and its output, which is returned again if the step is repeated.
    last: Option<(Step, Output)>,
}

impl Streams {
    /// Returns an engine's state without any stream.
    pub fn new(options: &Options) -> Self {
        Self {
            layers: options.layers,
            model_layers: options.model_layers,
            limit: options.limit as usize,
            idle_timeout: Duration::from_millis(options.idle_ms),
            leaving: false,
            streams: HashMap::new(),
            cancelled: VecDeque::new(),
            records_runs: options.record,
            runs: HashMap::new(),
        }
    }

    /// Sets whether new streams are refused.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Changes the layers that the engine holds, which drops all streams if they differ.
    pub fn set_layers(&mut self, layers: LayerRange) {
        if layers != self.layers {
            self.layers = layers;
            self.streams.clear();
        }
    }

    /// Checks whether a step may enter the batch; a prefill also reserves a place for a new stream.
    pub fn admit(&mut self, step: &Step, now: Instant) -> Result<(), Refusal> {
        self.check_step(step)?;
        if step.prefill {
            return self.open_stream(step.id.request, step.id.incarnation, now);
        }
        Ok(())
    }

    /// Runs a step, or returns its earlier output if it is the last one that ran.
    pub fn run(&mut self, step: &Step, now: Instant) -> Output {
        self.try_run(step, now).unwrap_or_else(Output::Refused)
    }

    fn try_run(&mut self, step: &Step, now: Instant) -> Result<Output, Refusal> {
        // The engine's state may have changed since admission.
        self.check_step(step)?;
        let layers = self.layers;
        let stream = self.streams.get_mut(&step.id.request);
        let stream = stream.ok_or(Refusal::MissingCache)?;
        stream.used_at = now;
        if let Some(output) = stream.repeated_output(step) {
            return Ok(output);
        }
        let inputs = inputs(step).ok_or(Refusal::WrongLayers)?;
        let kv = stream.cache_for(step, layers)?;
        let outputs: Vec<u64> = inputs.into_iter().map(|x| kv.layers.run(x)).collect();
        kv.next = step.id.token + 1;
        let output = match outputs.last() {
            Some(&last) if layers.end() == self.model_layers => {
                Output::Token(model::decode_token(last))
            }
            _ => Output::Activation(model::encode(&outputs).into()),
        };
        kv.last = Some((step.clone(), output.clone()));
        if self.records_runs {
            *self.runs.entry(step.id).or_default() += 1;
        }
        Ok(output)
    }

    /// Refuses a step for other layers, with an input that doesn't suit them, or for an
    /// incarnation that is no longer current.
    fn check_step(&self, step: &Step) -> Result<(), Refusal> {
        let first = step.id.layers.start() == 0;
        let fits = match (&step.input, step.prefill) {
            (Input::Prompt { .. }, true) | (Input::Token(_), false) => first,
            (Input::Activation(_), _) => !first,
            (Input::Prompt { .. }, false) | (Input::Token(_), true) => false,
        };
        if step.id.layers != self.layers || !fits {
            return Err(Refusal::WrongLayers);
        }
        self.check_incarnation(step.id.request, step.id.incarnation)
    }

    fn check_incarnation(
        &self,
        request: RequestId,
        incarnation: Incarnation,
    ) -> Result<(), Refusal> {
        let current = self.streams.get(&request).map(|stream| stream.incarnation);
        let cancelled = self.cancelled.iter().find(|(id, _)| *id == request);
        let is_stale = current.is_some_and(|current| incarnation < current)
            || cancelled.is_some_and(|cancelled| incarnation <= cancelled.1);
        if is_stale {
            return Err(Refusal::StaleIncarnation);
        }
        Ok(())
    }

    /// Reserves a place for a stream, or resets it for a higher incarnation.
    fn open_stream(
        &mut self,
        request: RequestId,
        incarnation: Incarnation,
        now: Instant,
    ) -> Result<(), Refusal> {
        if let Some(stream) = self.streams.get_mut(&request) {
            if incarnation > stream.incarnation {
                *stream = Stream::new(incarnation, now);
            }
            return Ok(());
        }
        if self.leaving {
            return Err(Refusal::Leaving);
        }
        if self.streams.len() >= self.limit {
            self.evict_idle(now);
        }
        if self.streams.len() >= self.limit {
            return Err(Refusal::Busy);
        }
        self.streams.insert(request, Stream::new(incarnation, now));
        Ok(())
    }

    /// Removes streams that had no step for the idle timeout.
    fn evict_idle(&mut self, now: Instant) {
        let idle_timeout = self.idle_timeout;
        self.streams
            .retain(|_, stream| now.duration_since(stream.used_at) < idle_timeout);
    }

    /// Ends a stream and records its incarnation, so that late steps are refused.
    pub fn cancel(&mut self, request: RequestId) {
        let Some(stream) = self.streams.remove(&request) else {
            return;
        };
        if self.cancelled.len() == MAX_CANCELLED_REQUESTS {
            self.cancelled.pop_front();
        }
        self.cancelled.retain(|(id, _)| *id != request);
        self.cancelled.push_back((request, stream.incarnation));
    }

    /// Returns the KV cache of a stream, if it has one.
    pub fn export(&self, request: RequestId) -> Option<KvExport> {
        let kv = self.streams.get(&request)?.kv.as_ref()?;
        Some(KvExport {
            tokens: kv.next,
            data: kv.layers.export().into(),
        })
    }

    /// Sets the KV cache of a stream for its new incarnation.
    pub fn import(
        &mut self,
        request: RequestId,
        incarnation: Incarnation,
        cache: &KvExport,
        now: Instant,
    ) -> Result<(), Refusal> {
        self.check_incarnation(request, incarnation)?;
        let layers = Layers::import(self.layers.start()..self.layers.end(), &cache.data);
        let layers = layers.ok_or(Refusal::WrongLayers)?;
        self.open_stream(request, incarnation, now)?;
        if let Some(stream) = self.streams.get_mut(&request) {
            stream.kv = Some(Kv {
                layers,
                next: cache.tokens,
                last: None,
            });
        }
        Ok(())
    }

    /// Returns the current load.
    pub fn load(&self) -> LoadReport {
        LoadReport {
            streams: u32::try_from(self.streams.len()).unwrap_or(u32::MAX),
            limit: u32::try_from(self.limit).unwrap_or(u32::MAX),
            leaving: self.leaving,
        }
    }

    /// Returns how often each step ran.
    pub fn runs(&self) -> Vec<StepRuns> {
        let runs = self.runs.iter().map(|(&id, &count)| StepRuns {
            id: id.into(),
            count,
        });
        runs.collect()
    }

    /// Returns all streams.
    pub fn list(&self) -> Vec<StreamState> {
        let streams = self.streams.iter().map(|(request, stream)| StreamState {
            request: request.0,
            incarnation: stream.incarnation.0,
            next: stream.kv.as_ref().map_or(0, |kv| kv.next),
        });
        streams.collect()
    }
}

impl Stream {
    fn new(incarnation: Incarnation, now: Instant) -> Self {
        Self {
            incarnation,
            kv: None,
            used_at: now,
        }
    }

    /// Returns the earlier output of this step if it is the last one that ran.
    fn repeated_output(&self, step: &Step) -> Option<Output> {
        let (last, output) = self.kv.as_ref()?.last.as_ref()?;
        let same = last.id == step.id && last.prefill == step.prefill && last.input == step.input;
        same.then(|| output.clone())
    }

    /// Returns the KV cache for a step: a new one for a prefill, else the existing
    /// one if it matches the step's incarnation and position.
    fn cache_for(&mut self, step: &Step, layers: LayerRange) -> Result<&mut Kv, Refusal> {
        if step.prefill {
            if self.kv.is_some() {
                // Later steps of the same incarnation have overtaken this prefill.
                return Err(Refusal::StaleIncarnation);
            }
            return Ok(self.kv.insert(Kv {
                layers: Layers::new(layers.start()..layers.end()),
                next: 0,
                last: None,
            }));
        }
        let kv = self.kv.as_mut();
        kv.filter(|kv| self.incarnation == step.id.incarnation && kv.next == step.id.token)
            .ok_or(Refusal::MissingCache)
    }
}

/// Returns the inputs of a step, one per position that it runs, or `None` if their number is wrong.
fn inputs(step: &Step) -> Option<Vec<u64>> {
    let inputs = match &step.input {
        Input::Prompt { text, generated } => {
            let mut inputs = vec![model::prompt_input(text)];
            inputs.extend(generated.iter().map(|&id| model::token_input(id)));
            inputs
        }
        Input::Token(id) => vec![model::token_input(*id)],
        Input::Activation(data) => model::decode(data)?,
    };
    let positions = if step.prefill {
        step.id.token as usize + 1
    } else {
        1
    };
    (inputs.len() == positions).then_some(inputs)
}
