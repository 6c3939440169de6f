//! Runs inference requests: reserves tokens from the workspace's cap, then generates the answer,
//! with retries and stream resumption.

mod answer;
mod attempt;
mod budget;
mod call;
mod runner;

#[cfg(test)]
mod tests;

pub use answer::AnswerEvent;
pub use answer::AnswerStream;
pub use answer::CollectedAnswer;
pub use call::InferenceCall;
pub use runner::InferenceRunner;
