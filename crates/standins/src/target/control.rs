//! Control port of targets.

use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;

use super::Counts;
use super::Target;
use super::state::State;
use crate::Query;
use crate::Result;
use crate::Stream;
use crate::server::Service;
use crate::server::json;
use crate::server::text;

/// Service of the targets' control port: `GET /runs` and
/// `POST /set?addr=ADDR&cold=1`.
///
/// `/set` applies `cold`, `drain=TIME`, `down=TIME`, `silence`, `late=TIME`,
/// `crossed=N` and `claim=PHASE` to the target at `addr`, or to all targets if
/// there is no `addr`.
#[derive(Debug)]
pub struct Control(pub Vec<Target>);

impl Service for Control {
    async fn handle(&self, req: Request, _: Stream) -> Result<Response> {
        match (req.method(), req.url().path()) {
            (Method::Get, "/runs") => {
                let counts: Vec<Counts> = self.0.iter().map(Target::counts).collect();
                json(&counts)
            }
            (Method::Post, "/set") => self.set(&Query::from_request(&req)),
            _ => Ok(text(StatusCode::NotFound, "no such path")),
        }
    }
}

impl Control {
    fn set(&self, query: &Query) -> Result<Response> {
        let addr = query.get("addr");
        let is_selected = |t: &&Target| addr.is_none_or(|addr| addr == t.addr.to_string());
        for target in self.0.iter().filter(is_selected) {
            apply(&mut target.state(), query)?;
        }
        Ok(text(StatusCode::Ok, "changed"))
    }
}

fn apply(state: &mut State, query: &Query) -> Result<()> {
    if query.get("cold").is_some() {
        state.start_cold();
    }
    if query.get("silence").is_some() {
        state.stall_connections();
    }
    if let Some(time) = query.duration("drain")? {
        state.drain(time);
    }
    if let Some(time) = query.duration("down")? {
        state.take_down(time);
    }
    if let Some(time) = query.duration("late")? {
        state.set_response_delay(time);
    }
    if let Some(count) = query.number("crossed")? {
        state.duplicate_responses(count);
    }
    if let Some(phase) = query.get("claim") {
        state.override_phase(Some(phase.to_owned()).filter(|p| !p.is_empty()));
    }
    Ok(())
}
