import threading

import testtools

from dotterelplank.threads import WorkerPool


class WorkerPoolTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.pool = WorkerPool("test")

    def run_together(self, count):
        """Run ``count`` tasks that end only after all have started; return threads."""
        barrier = threading.Barrier(count + 1, timeout=10)
        threads = []

        def task():
            threads.append(threading.current_thread())
            barrier.wait()

        for _ in range(count):
            self.pool.submit(task)
        barrier.wait()
        return threads

    def test_every_task_gets_a_thread_at_once(self):
        self.assertEqual(8, len(set(self.run_together(8))))

    def test_threads_are_reused_and_are_daemon_threads(self):
        first = set(self.run_together(4))
        self.assertTrue(all(thread.daemon for thread in first))
        done = threading.Event()
        while self.pool._idle_threads < 4:
            done.wait(0.01)
        self.assertEqual(first, set(self.run_together(4)))

    def test_the_thread_of_a_failed_task_is_reused(self):
        failed = threading.Event()

        def fail():
            failed.set()
            raise ValueError("of the test")

        self.pool.submit(fail)
        self.assertTrue(failed.wait(10))
        self.assertEqual(2, len(self.run_together(2)))
