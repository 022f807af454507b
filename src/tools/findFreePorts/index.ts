import { createServer } from "node:net";

/** Ports stay below the system's ephemeral range, where an outgoing connection could take a port before it is used. */
const MIN_PORT = 12_000;
const MAX_PORT = 32_000;
const MAX_TRIES = 2_000;

/**
 * Finds ports on loopback that nothing listens on.
 *
 * @param count - Number of ports to find.
 * @throws Error when too few are found.
 */
export async function findFreePorts(count: number): Promise<number[]> {
    const ports = new Set<number>();
    for (let tries = 0; ports.size < count; tries++) {
        if (tries > MAX_TRIES) throw new Error(`no ${count} free ports`);
        const port = MIN_PORT + Math.floor(Math.random() * (MAX_PORT - MIN_PORT));
        if (!ports.has(port) && await isFree(port)) ports.add(port);
    }
    return [...ports];
}

function isFree(port: number): Promise<boolean> {
    const server = createServer();
    return new Promise(resolve => {
        server.once("error", () => resolve(false));
        server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
    });
}
