//! Begins the turns of programs.

use bytes::Bytes;
use poplarspan_policy::Name;
use tokio::time::Instant;

use super::{
    Front,
    call::CallBody,
    programs::{
        OpenTurn, TurnName, TurnRequirements,
        outputs::{OutputRecord, StreamAttempt},
    },
    recording::TurnRecording,
    refusal::Refusal,
};
use crate::{CallHead, Route, RouteKind, Team};

impl Front {
    /// Begins a turn if the call has a token budget or its turn is kept.
    pub(super) async fn begin_turn(
        &self,
        route: &Route,
        head: &CallHead,
        team: Option<&Team>,
        body: Bytes,
        deadline: Instant,
    ) -> Result<(Option<OpenTurn>, Option<TurnRecording>, CallBody), Refusal> {
        let is_stream = matches!(route.kind, RouteKind::Stream { .. });
        let Some(program) = head.program.as_ref().filter(|_| is_stream) else {
            return Ok((None, None, body.into()));
        };
        let previous = program.previous_turn.as_ref().filter(|_| route.retain.is_some());
        if program.token_budget.is_none() && route.retain.is_none() {
            return Ok((None, None, body.into()));
        }
        let name = TurnName {
            team: team.map_or_else(|| "".into(), |t| t.name.clone()),
            program: program.id.clone(),
            turn: head.id.clone(),
        };
        let needs = TurnRequirements {
            most: u64::from(head.max_output_tokens),
            budget: program.token_budget,
            previous,
            keeps: route.retain.is_some(),
            deadline,
        };
        let (turn, history) = self.programs.begin(&name, needs).await?;
        let recording = match route.retain {
            Some(_) => {
                let recording =
                    TurnRecording::new(history.clone(), body.clone(), previous.cloned());
                Some(self.recorded(recording, route, head, name.team, deadline).await?)
            }
            None => None,
        };
        let body = CallBody::new(history, body);
        Ok((Some(turn), recording, body))
    }

    /// Records the events of a stream durably if its caller may resume it. If the call resumes a
    /// stream, the recording begins with the output so far.
    async fn recorded(
        &self,
        recording: TurnRecording,
        route: &Route,
        head: &CallHead,
        team: Name,
        deadline: Instant,
    ) -> Result<TurnRecording, Refusal> {
        if !route.may_run_again() {
            return Ok(recording);
        }
        let stream = head.resumes.as_ref().filter(|_| head.last_event.is_some());
        let attempt = StreamAttempt {
            team,
            stream: stream.unwrap_or(&head.id).clone(),
            id: head.id.clone(),
            until: Instant::now() + head.time_left.unwrap_or_default().max(route.timeout),
            max_tokens: head.max_output_tokens,
        };
        let Some(last_event) = &head.last_event else {
            let record = OutputRecord::begin(&self.programs, attempt, deadline).await?;
            return Ok(recording.with_record(record, &[]));
        };
        let (record, output) =
            OutputRecord::resume(&self.programs, attempt, last_event, deadline).await?;
        Ok(recording.with_record(record, &output))
    }
}
