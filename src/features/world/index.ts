import { After, setWorldConstructor } from "@cucumber/cucumber";
import { expectedAnswer } from "../../emulator/index.js";
import { CallerResult, ChatCall, sendChat, sendService } from "./caller.js";
import { deploy, keyOf } from "./deployment.js";
import { CALLER_HOST, FleetLayout, MemoryFleet } from "./memoryFleet.js";

/** A chat that a scenario has sent. */
export interface SentChat {
    readonly workspace: string;
    readonly expected: string;
    readonly result: Promise<CallerResult>;
    readonly abort: AbortController;
    /** What has come so far. */
    received: string;
}

/** An order that a scenario has sent. */
export interface SentOrder {
    readonly text: string;
    readonly result: Promise<CallerResult>;
}

const LONG_MS = 300_000;

/** What the steps of one scenario share. */
export class FleetWorld {
    fleet!: MemoryFleet;
    readonly chats: SentChat[] = [];
    readonly orders: SentOrder[] = [];
    private nextPrompt = 1;

    async startFleet(layout: Partial<FleetLayout>): Promise<void> {
        this.fleet = new MemoryFleet(layout);
        await this.fleet.start();
    }

    async deploy(workspaces: readonly string[]): Promise<void> {
        await deploy(this.fleet, workspaces);
    }

    /** Sends a chat whose answer has this many tokens; goes on without waiting for it. */
    sendChat(workspace: string, tokens: number, entry: number, more: Partial<ChatCall> = {}): SentChat {
        const prompt = `request ${this.nextPrompt++} of ${workspace} [tokens=${tokens}]`;
        const abort = new AbortController();
        const chat: SentChat = {
            workspace,
            expected: expectedAnswer([{ role: "user", content: prompt }], tokens),
            abort,
            received: "",
            result: sendChat(this.fleet.web.http(CALLER_HOST), this.fleet.entryAddress(entry - 1), {
                key: keyOf(workspace),
                model: "draft",
                prompt,
                signal: abort.signal,
                onText: text => {
                    chat.received = text;
                },
                ...more,
            }),
        };
        this.chats.push(chat);
        return chat;
    }

    /** Sends an order that must not run twice; goes on without waiting for its answer. */
    sendOrder(workspace: string, text: string, idempotencyKey: string | undefined, entry: number): SentOrder {
        const order: SentOrder = {
            text,
            result: sendService(this.fleet.web.http(CALLER_HOST), this.fleet.entryAddress(entry - 1), {
                key: keyOf(workspace),
                service: "orders",
                path: "/book",
                body: text,
                idempotencyKey,
            }),
        };
        this.orders.push(order);
        return order;
    }

    /** Lets virtual time pass until the work is done. */
    settle<Value>(work: Promise<Value>): Promise<Value> {
        return this.fleet.run(work, LONG_MS);
    }

    chatResults(): Promise<CallerResult[]> {
        return this.settle(Promise.all(this.chats.map(chat => chat.result)));
    }

    orderResults(): Promise<CallerResult[]> {
        return this.settle(Promise.all(this.orders.map(order => order.result)));
    }
}

setWorldConstructor(FleetWorld);

After(async function(this: FleetWorld) {
    await this.fleet.close();
});
