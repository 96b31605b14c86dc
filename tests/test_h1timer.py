"""A state timer calls the last function that was set, once, and at its time."""

from dotterelspread.h1timer import StateTimer


class FakeHandle:
    def __init__(self, due_s, call):
        self.due_s, self.call, self.is_cancelled = due_s, call, False

    def when(self):
        return self.due_s

    def cancel(self):
        self.is_cancelled = True


class FakeLoop:
    def __init__(self):
        self.now_s = 0.0
        self.handles = []

    def time(self):
        return self.now_s

    def call_at(self, due_s, call):
        self.handles.append(FakeHandle(due_s, call))
        return self.handles[-1]

    def advance(self, to_s):
        while True:
            open_handles = [h for h in self.handles if not h.is_cancelled]
            due = [h for h in open_handles if h.due_s <= to_s]
            if not due:
                break
            handle = min(due, key=FakeHandle.when)
            self.handles.remove(handle)
            self.now_s = handle.due_s
            handle.call()
        self.now_s = to_s


def test_a_timer_that_is_set_again_calls_only_at_the_last_time():
    loop, calls = FakeLoop(), []
    timer = StateTimer(loop)
    for now_s in range(10):
        loop.advance(now_s)
        timer.cancel()
        timer.set(15, lambda: calls.append(loop.now_s))
    assert len(loop.handles) == 1
    loop.advance(23.9)
    assert calls == []
    loop.advance(60)
    assert calls == [24.0]
    assert timer.on_time_up is None


def test_an_earlier_time_replaces_a_later_one():
    loop, calls = FakeLoop(), []
    timer = StateTimer(loop)
    timer.set(15, lambda: calls.append("idle"))
    timer.set(3, lambda: calls.append("head"))
    loop.advance(60)
    assert calls == ["head"]
    timer.set(2, lambda: calls.append("again"))
    loop.advance(70)
    assert calls == ["head", "again"]


def test_a_cancelled_or_closed_timer_calls_nothing():
    loop, calls = FakeLoop(), []
    timer = StateTimer(loop)
    timer.set(5, lambda: calls.append(1))
    timer.cancel()
    loop.advance(20)
    timer.set(5, lambda: calls.append(2))
    timer.close()
    loop.advance(40)
    assert calls == []
    assert all(handle.is_cancelled for handle in loop.handles)
