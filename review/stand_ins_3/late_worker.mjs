// A worker that leaves one start without an answer and can be silent for a
// while. The case decides when the start is carried out.
import * as store from './store.mjs';
import * as worker from './worker.mjs';

/**
 * `world.late` holds `job`, whose first start gets no answer once it is set,
 * `answersRepeats`, whether its repeats to that worker are carried out as
 * usual, `order`, that start, and `onOrder`, which is called with it.
 */
export class LateWorker extends worker.Worker {
  async serve(request, response) {
    const {late} = this.world;
    if (this.isDark) return;
    const isStart = request.url === '/run-start' && this.isUp;
    if (!isStart || late.job === undefined) {
      await super.serve(request, response);
      return;
    }
    const body = JSON.parse((await store.readBody(request)).toString());
    if (body.task.startsWith(late.job) && late.order === undefined) {
      late.order = {worker: this, body, sentAt: performance.now()};
      this.note('unanswered order', body, `token=${body.fencing_token}`);
      late.onOrder();
      return;
    }
    const isRepeat =
      late.order?.worker === this && late.order.body.task === body.task;
    if (isRepeat && !late.answersRepeats) return;
    this.serveStart(body, response);
  }

  /** Carries out a start, whenever it was sent. */
  serveStart(body, response) {
    if (body.fencing_token < this.token) {
      this.answer(response, 409, {reason: 'fence'});
      return;
    }
    this.token = body.fencing_token;
    this.start(body, response);
  }

  /** Loses its runs. Until it is back, calls get no answer. */
  goDark() {
    for (const run of this.running.values()) this.note('lost', run);
    this.running.clear();
    this.isDark = true;
    this.isUp = false;
  }

  /** Is out of reach and runs on, without pings. */
  cutOff() {
    this.isDark = true;
    clearInterval(this.pings);
  }

  /** Is in reach again; its next ping follows. */
  heal() {
    this.isDark = false;
  }

  /** Starts its next life, at the same address and under the same id. */
  comeBack() {
    this.begin();
    this.isDark = false;
  }
}
