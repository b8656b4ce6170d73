import asyncio

import testtools

from dotterelplank import loops


class LoopTests(testtools.TestCase):
    def test_work_is_restarted_after_an_exception(self):
        self.patch(loops, "RESTART_PAUSE_S", 0.0)
        starts = []

        async def work():
            starts.append(1)
            if len(starts) < 3:
                raise KeyError("a fault")
            await asyncio.sleep(60)

        async def run():
            task = asyncio.create_task(loops.run_supervised("work", work))
            while len(starts) < 3:
                await asyncio.sleep(0)
            task.cancel()

        asyncio.run(run())
        self.assertEqual(3, len(starts))
