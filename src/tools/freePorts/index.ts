import { createServer } from "node:net";

/** Below the range from which the system takes the ports of outgoing connections: those could take a port again. */
const LOWEST_PORT = 12_000;
const HIGHEST_PORT = 32_000;
const MOST_TRIES = 2_000;

/**
 * Finds ports that nothing listens on.
 *
 * @param count - How many.
 * @throws Error when there are too few.
 */
export async function findFreePorts(count: number): Promise<number[]> {
    const found = new Set<number>();
    for (let tries = 0; found.size < count; tries++) {
        if (tries > MOST_TRIES) throw new Error(`no ${count} free ports`);
        const port = LOWEST_PORT + Math.floor(Math.random() * (HIGHEST_PORT - LOWEST_PORT));
        if (!found.has(port) && await isFree(port)) found.add(port);
    }
    return [...found];
}

function isFree(port: number): Promise<boolean> {
    const server = createServer();
    return new Promise(resolve => {
        server.once("error", () => resolve(false));
        server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
    });
}
