"""Endpoints that answer wrongly, on edge daemons as processes."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor

from edge_cluster import EdgeCluster
from standin import OtherAnswer

LONG_BODY = b"x" * (12 << 20)  # More than the kernel buffers of a connection hold.


def test_edge_passes_on_no_part_of_an_answer_whose_connection_was_reset() -> None:
    """Guards against a part of an answer without a length that the client takes for the whole.

    The endpoints answer a long upload at once and reset the connection while it is being sent.
    """
    with EdgeCluster(daemons=1, runners=1, plain=2, models=1) as cluster:
        daemon = cluster.daemons[0]
        cluster.platform.configure(limits={"maxBodyBytes": 2 * len(LONG_BODY)})
        cluster.wait_until(lambda: daemon.send("pay", body=LONG_BODY).is_complete, "the limits")
        for endpoint in ("p0", "p1"):
            cluster.platform.endpoints[endpoint].faults.resets_uploads = True
        for kind in ("pay", "check"):
            with ThreadPoolExecutor(4) as pool:
                results = list(pool.map(lambda _: daemon.send(kind, body=LONG_BODY), range(12)))
            assert [result.status for result in results] == [502] * 12, (kind, results)
        # Nothing of it stays on connections that are used again.
        for endpoint in ("p0", "p1"):
            cluster.platform.endpoints[endpoint].faults.resets_uploads = False
        assert daemon.send("pay", body=LONG_BODY).is_complete


def test_edge_does_not_take_an_earlier_refusal_for_that_of_a_request_that_runs() -> None:
    """Guards against requests that run twice, or are told to have not run, by a repeated refusal.

    The runner refuses a stream once and then writes that refusal again on the same connection, before
    the answer to the next request there.
    """
    with EdgeCluster(daemons=1, runners=1, plain=1, models=1) as cluster:
        daemon = cluster.daemons[0]
        for endpoint, kind in (("r0", "chat"), ("p0", "check")):
            faults = cluster.platform.endpoints[endpoint].faults
            faults.repeats_refusals, faults.refuse_requests = True, 1
            result = daemon.send(kind)
            assert result.is_complete, result
            assert cluster.run_count(result) == 1, result


def test_edge_does_not_take_a_refusal_without_an_id_for_that_of_another_request() -> None:
    """Guards against the same where the refusal does not tell to which request it belongs.

    Several requests are refused to the end. All kept connections then bring a refusal once more while
    the endpoint runs the next request.
    """
    with EdgeCluster(daemons=1, runners=1, plain=1, models=1) as cluster:
        daemon = cluster.daemons[0]
        for endpoint, kind in (("r0", "chat"), ("p0", "check")):
            faults = cluster.platform.endpoints[endpoint].faults
            faults.repeats_refusals, faults.refusals_have_id = True, False
            faults.refuse_requests = 1000
            with ThreadPoolExecutor(6) as pool:
                refused = list(pool.map(lambda _: daemon.send(kind), range(6)))
            assert not [result for result in refused if cluster.run_count(result)]
            faults.refuse_requests = 0
            for _ in range(6):
                result = daemon.send(kind)
                assert cluster.find_violation(result) is None, result


def test_edge_puts_no_other_answer_into_a_stream() -> None:
    """Guards against streams that go on with an error's text, or end as if they were complete.

    A stream breaks off, and the runner that is to go on with it answers otherwise.
    """
    answers = (OtherAnswer(500, "text/plain", b"HTTP/1.1 500 X\r\n\r\nfailed\n\n"),
               OtherAnswer(404, "text/plain", b"no such model\n\n"),
               OtherAnswer(200, "text/plain", b"an error\n\n"),
               OtherAnswer(200, "application/json", b"{}"),
               OtherAnswer(204, "text/event-stream", b""))
    with EdgeCluster(daemons=1, runners=2, models=2) as cluster:
        for endpoint in ("r0", "r1"):
            cluster.platform.endpoints[endpoint].faults.cut_after_events = 2
        for answer in answers:
            for endpoint in ("r0", "r1"):
                cluster.platform.endpoints[endpoint].faults.resume_answer = answer
            for _ in range(3):
                result = cluster.daemons[0].send("chat")
                assert cluster.run_count(result) == 2, (answer, result)
                assert result.status == 0, (answer, result)
                assert result.event_ids == [1, 2], (answer, result)
                assert result.body.count(b"\n\n") == 2, (answer, result)


def test_edge_passes_on_no_answer_whose_head_is_cut_off() -> None:
    """Guards against a success with an empty or short body, framed as whole, for a head without its end.

    The endpoint closes in the middle of the head, also in one that is to take up a stream.
    """
    # Behind the status, within the first field, behind each field, and before the last line end.
    cuts = (17, 30, 36, 37, 80, -30, -10, -4, -3, -2, -1)
    with EdgeCluster(daemons=1, runners=2, plain=2, models=2) as cluster:
        daemon = cluster.daemons[0]
        endpoints = [cluster.platform.endpoints[name] for name in ("p0", "p1", "r0", "r1")]
        for cut in cuts:
            for endpoint in endpoints:
                endpoint.faults.cut_head = cut
            for kind in ("pay", "check", "chat", "draft"):
                result = daemon.send(kind)
                assert result.status in (0, 502, 503, 504), (cut, result)
                assert cluster.find_violation(result) is None, (cut, result)
        for endpoint in endpoints:
            endpoint.faults.cut_after_events, endpoint.faults.cuts_resumed_only = 2, True
        for cut in cuts:
            for endpoint in endpoints:
                endpoint.faults.cut_head = cut
            result = daemon.send("chat")
            assert result.status == 0 and result.event_ids == [1, 2], (cut, result)
            assert result.body.count(b"\n\n") == 2, (cut, result)
