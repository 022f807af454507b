import { RepeatAccount, RepeatCharge } from "../repeatAccount/index.js";

/**
 * A repeat that is reserved for a call. It counts as made at the moment it is sent, since limits are on arrivals; until then it is kept from
 * other calls.
 *
 * @example
 * if (permit.tryUse()) await send();
 * permit.release();
 */
export class RepeatPermit {
    private isReserved = true;
    private charge: RepeatCharge | undefined;
    /** Whether it counts as made for a send that has not begun. */
    private isClaimed = false;

    /** @param slackShare - Returns the share of the slack that this entry may use in a window. */
    constructor(private readonly account: RepeatAccount, private readonly slackShare: () => number) {
        account.reserved++;
    }

    /**
     * Counts the repeat as made now, for a send that follows at once: no other call can use it meanwhile.
     *
     * @returns Whether it may be sent.
     */
    claim(): boolean {
        this.isClaimed = this.tryUse();
        return this.isClaimed;
    }

    /**
     * Counts the repeat as made now, right before it is sent. A permit lapses where the budget has shrunk since it was reserved.
     *
     * @returns Whether it may be sent.
     */
    tryUse(): boolean {
        if (this.isClaimed) {
            this.isClaimed = false;
            return true;
        }
        if (!this.isReserved) return false;
        this.release();
        this.charge = this.account.tryCharge(this.slackShare());
        return this.charge !== undefined;
    }

    /** Takes a use back, where it turned out that nothing was sent. */
    restore(): void {
        if (!this.charge) return;
        this.account.refund(this.charge);
        this.charge = undefined;
        this.isReserved = true;
        this.account.reserved++;
    }

    /** Returns a repeat that was not sent to the budget; without effect on one that was. */
    release(): void {
        if (this.isClaimed) {
            this.isClaimed = false;
            this.restore();
        }
        if (!this.isReserved) return;
        this.isReserved = false;
        this.account.reserved--;
    }
}
